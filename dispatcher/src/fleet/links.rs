//! TCP links between members, one for each direction, opened when there is a frame to send. The link protocol and its
//! authentication are in `lineroute_fleet::link`; this module has the sockets and their limits. A frame that can't be sent is
//! lost: senders that need an answer repeat their request.

use crate::accept::AcceptRetry;
use crate::config::Fleet;
use lineroute_control::peers::KeyRing;
use lineroute_fleet::frame::Frame;
use lineroute_fleet::link::{
    member_list_digest, ClientHandshake, HandshakeStep, LinkError, LocalIdentity, Peer, Sealer,
    ServerHandshake,
};
use lineroute_fleet::{Incarnation, Member};
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::{debug, warn};

/// Maximum number of outgoing links; the least recently used one is closed for a new one.
pub const MAX_OUTGOING: usize = 64;
/// Maximum number of incoming links; further connections wait until one is closed.
pub const MAX_INCOMING: usize = 96;
/// Maximum number of frames queued for a link; further frames are dropped.
const MAX_QUEUED_FRAMES: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Links that are idle for longer are closed.
const OUTGOING_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const INCOMING_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a member that could not be reached is connected to again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A process counts as running if it sent a frame within this time over a link that is still open.
const PRESENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between two warnings about links.
const WARNING_INTERVAL: Duration = Duration::from_secs(5);

/// Receives what arrives over the links.
pub trait LinkHandler {
    /// A member has sent a frame.
    fn receive_frame(&self, from: Member, frame: Frame);
    /// The newest known incarnation number of a member.
    fn known_incarnation(&self, member: Member) -> Option<u64>;
    /// Another member knows this incarnation number of this member.
    fn incarnation_known(&self, number: u64);
}

#[derive(Clone, Copy)]
struct IncarnationPresence {
    incarnation: Incarnation,
    last_frame: Instant,
    open_links: usize,
}

struct OutgoingLink {
    queue: mpsc::Sender<Vec<u8>>,
    last_used: Instant,
}

/// Statistics of all links.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkStats {
    pub sent: u64,
    pub received: u64,
    pub bytes_sent: u64,
    pub lost: u64,
    pub refused: u64,
}

/// The links of this process.
pub struct Links {
    me: Weak<Links>,
    handler: Weak<dyn LinkHandler>,
    names: Vec<String>,
    addrs: Vec<SocketAddr>,
    member_list_digest: [u8; 16],
    incarnation: Cell<Incarnation>,
    keys: RefCell<KeyRing>,
    outgoing: RefCell<FxHashMap<Member, OutgoingLink>>,
    presence: RefCell<FxHashMap<Member, IncarnationPresence>>,
    stats: Cell<LinkStats>,
    last_warning: Cell<Option<Instant>>,
    incoming: Cell<usize>,
}

fn nonce() -> [u8; 16] {
    let mut nonce = [0; 16];
    // Without random numbers a handshake could be replayed; callers make none if this is all zeros.
    if getrandom::fill(&mut nonce).is_err() {
        nonce = [0; 16];
    }
    nonce
}

impl Links {
    pub fn new(config: &Fleet, incarnation: Incarnation, handler: Weak<dyn LinkHandler>) -> Rc<Links> {
        Rc::new_cyclic(|me| Links {
            me: me.clone(),
            handler,
            names: config.names.clone(),
            addrs: config.addrs.clone(),
            member_list_digest: member_list_digest(&config.names),
            incarnation: Cell::new(incarnation),
            keys: RefCell::new(config.keys.clone()),
            outgoing: RefCell::default(),
            presence: RefCell::default(),
            stats: Cell::default(),
            last_warning: Cell::new(None),
            incoming: Cell::new(0),
        })
    }

    pub fn stats(&self) -> LinkStats {
        self.stats.get()
    }

    fn count(&self, change: impl FnOnce(&mut LinkStats)) {
        let mut stats = self.stats.get();
        change(&mut stats);
        self.stats.set(stats);
    }

    /// Replaces the keys for new links.
    pub fn rekey(&self, keys: KeyRing) {
        *self.keys.borrow_mut() = keys;
    }

    /// Continues as another incarnation; new links announce it.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.set(incarnation);
        self.outgoing.borrow_mut().clear();
    }

    fn local_identity(&self) -> LocalIdentity {
        let (incarnation, members) = (self.incarnation.get(), self.names.len() as u16);
        LocalIdentity {
            incarnation,
            members,
            member_list_digest: self.member_list_digest,
            keys: self.keys.borrow().clone(),
        }
    }

    /// Sends a frame over an open link or a new one.
    pub fn send(&self, to: Member, frame: &Frame) {
        let bytes = frame.encode();
        let mut outgoing = self.outgoing.borrow_mut();
        if !outgoing.contains_key(&to) {
            if outgoing.len() >= MAX_OUTGOING {
                let oldest = outgoing.iter().min_by_key(|(_, o)| o.last_used).map(|(member, _)| *member);
                oldest.iter().for_each(|member| drop(outgoing.remove(member)));
            }
            let (queue, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
            outgoing.insert(to, OutgoingLink { queue, last_used: Instant::now() });
            if let Some(me) = self.me.upgrade() {
                actix_rt::spawn(me.run_outgoing(to, frames));
            }
        }
        let Some(link) = outgoing.get_mut(&to) else { return };
        link.last_used = Instant::now();
        let size = bytes.len() as u64;
        match link.queue.try_send(bytes) {
            Ok(()) => self.count(|c| (c.sent, c.bytes_sent) = (c.sent + 1, c.bytes_sent + size)),
            Err(_) => self.count(|c| c.lost += 1),
        }
    }

    /// Sends the frames of a queue until it is idle.
    async fn run_outgoing(self: Rc<Self>, to: Member, mut frames: mpsc::Receiver<Vec<u8>>) {
        loop {
            // Cancel-safe: a receive that is dropped at its await has taken nothing out of the queue.
            let Ok(Some(first)) = timeout(OUTGOING_IDLE_TIMEOUT, frames.recv()).await else { break };
            let result = match self.connect(to).await {
                Ok((stream, sealer)) => send_frames(stream, sealer, first, &mut frames).await,
                Err(e) => Err(e),
            };
            match result {
                Ok(()) => break,
                Err(e) => debug!(member = self.name(to), error = %e, "fleet: an outgoing link ended"),
            }
            // Frames that were queued meanwhile are outdated.
            let mut lost = 0;
            while frames.try_recv().is_ok() {
                lost += 1;
            }
            self.count(|c| c.lost += lost);
            let jitter = Duration::from_millis(u64::from(nonce()[0]) / 2);
            tokio::time::sleep(RECONNECT_DELAY + jitter).await;
        }
        // A newer link may have replaced this one in the map; only this one's queue is closed.
        let mut outgoing = self.outgoing.borrow_mut();
        frames.close();
        if outgoing.get(&to).is_some_and(|o| o.queue.is_closed()) {
            outgoing.remove(&to);
        }
    }

    fn name(&self, member: Member) -> &str {
        self.names.get(usize::from(member.0)).map_or("?", String::as_str)
    }

    async fn connect(&self, to: Member) -> io::Result<(TcpStream, Sealer)> {
        let addr = self.addrs.get(usize::from(to.0)).copied().ok_or(io::ErrorKind::NotFound)?;
        let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.map_err(timed_out)??;
        stream.set_nodelay(true)?;
        let (stream, peer, sealer) =
            timeout(HANDSHAKE_TIMEOUT, self.client_handshake(stream, to)).await.map_err(timed_out)??;
        if let (Some(known), Some(handler)) = (peer.known_incarnation, self.handler.upgrade()) {
            handler.incarnation_known(known);
        }
        self.check_member_list(&peer);
        Ok((stream, sealer))
    }

    async fn client_handshake(
        &self,
        mut stream: TcpStream,
        to: Member,
    ) -> io::Result<(TcpStream, Peer, Sealer)> {
        let nonce = nonce();
        if nonce == [0; 16] {
            return Err(io::Error::other("no random numbers"));
        }
        let (mut handshake, hello) = ClientHandshake::new(self.local_identity(), to, nonce);
        stream.write_all(&hello).await?;
        let mut bytes = [0; 512];
        loop {
            let size = stream.read(&mut bytes).await?;
            if size == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            match handshake.receive(&bytes[..size]) {
                Ok(None) => {}
                Ok(Some((proof, peer, sealer))) => {
                    stream.write_all(&proof).await?;
                    return Ok((stream, peer, sealer));
                }
                Err(error) => {
                    self.record_refusal(self.name(to), &error);
                    return Err(io::Error::other(error));
                }
            }
        }
    }

    fn check_member_list(&self, peer: &Peer) {
        if !peer.same_member_list {
            let name = self.name(peer.incarnation.member);
            self.warn_rarely(|| {
                warn!(member = name, "fleet: its list of members has other names than this one's")
            });
        }
    }

    fn record_refusal(&self, who: &str, error: &LinkError) {
        self.count(|c| c.refused += 1);
        let refused = self.stats.get().refused;
        self.warn_rarely(|| warn!(who, cause = %error, refused, "fleet: a link is refused"));
    }

    /// Logs a warning unless another was logged within [`WARNING_INTERVAL`].
    fn warn_rarely(&self, log: impl FnOnce()) {
        if self.last_warning.get().is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) {
            self.last_warning.set(Some(Instant::now()));
            log();
        }
    }

    /// Accepts links of other members.
    pub async fn listen(self: Rc<Self>, socket: TcpListener) {
        let mut retry = AcceptRetry::new("fleet");
        loop {
            // Connections beyond the limit wait in the kernel's backlog until a link has ended.
            while self.incoming.get() >= MAX_INCOMING {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            match socket.accept().await {
                Ok((stream, from)) => {
                    retry.succeeded();
                    self.incoming.set(self.incoming.get() + 1);
                    let me = self.clone();
                    actix_rt::spawn(async move {
                        let _ = stream.set_nodelay(true);
                        if let Err(e) = me.run_incoming(stream, from).await {
                            debug!(from = %from, error = %e, "fleet: an incoming link ended");
                        }
                        me.incoming.set(me.incoming.get() - 1);
                    });
                }
                Err(e) => retry.failed(&e).await,
            }
        }
    }

    async fn run_incoming(&self, mut stream: TcpStream, from: SocketAddr) -> io::Result<()> {
        let nonce = nonce();
        if nonce == [0; 16] {
            return Err(io::Error::other("no random numbers"));
        }
        let mut handshake = ServerHandshake::new(self.local_identity(), nonce);
        let mut bytes = vec![0; 16 << 10];
        let server_handshake = async {
            loop {
                let size = stream.read(&mut bytes[..512]).await?;
                if size == 0 {
                    self.record_refusal(&from.to_string(), &LinkError::ClosedBeforeProof);
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
                }
                let known = |member| self.handler.upgrade().and_then(|h| h.known_incarnation(member));
                let is_duplicate = |incarnation: Incarnation| self.is_duplicate(incarnation);
                match handshake.receive(&bytes[..size], known, is_duplicate) {
                    Ok(HandshakeStep::Incomplete) => {}
                    Ok(HandshakeStep::Send(message)) => stream.write_all(&message).await?,
                    Ok(HandshakeStep::Established(peer, opener)) => return Ok((peer, opener)),
                    Err(error) => {
                        self.record_refusal(&from.to_string(), &error);
                        return Err(io::Error::other(error));
                    }
                }
            }
        };
        let (peer, mut opener) = timeout(HANDSHAKE_TIMEOUT, server_handshake)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.check_member_list(&peer);
        let link = IncomingLink::new(self, peer.incarnation);
        loop {
            loop {
                let body = opener
                    .next_frame()
                    .inspect_err(|error| self.record_refusal(self.name(peer.incarnation.member), error));
                let Some(body) = body.map_err(io::Error::other)? else { break };
                let Some(frame) = Frame::decode(&body) else {
                    self.record_refusal(self.name(peer.incarnation.member), &LinkError::Malformed);
                    return Err(io::ErrorKind::InvalidData.into());
                };
                link.frame_received();
                self.count(|c| c.received += 1);
                if let Some(handler) = self.handler.upgrade() {
                    handler.receive_frame(peer.incarnation.member, frame);
                }
            }
            let size = timeout(INCOMING_IDLE_TIMEOUT, stream.read(&mut bytes))
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            if size == 0 {
                return Ok(());
            }
            opener.push(&bytes[..size]);
            // Lets client requests run between the reads of a member that sends without pause.
            tokio::task::yield_now().await;
        }
    }

    /// Whether another process has just sent frames as the same member over a link that is still open.
    fn is_duplicate(&self, incarnation: Incarnation) -> bool {
        let last = self.presence.borrow().get(&incarnation.member).copied();
        last.is_some_and(|last| {
            last.incarnation != incarnation
                && last.open_links > 0
                && last.last_frame.elapsed() < PRESENCE_TIMEOUT
        })
    }

    /// Asks these members whether another process runs as this member; true if one says so.
    pub async fn is_taken(&self, asked: &[Member]) -> bool {
        let me = self.incarnation.get().member;
        let requests = asked.iter().filter(|m| **m != me).map(|to| async move {
            let addr = self.addrs.get(usize::from(to.0)).copied()?;
            let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
            let (_, peer, _) =
                timeout(CONNECT_TIMEOUT, self.client_handshake(stream, *to)).await.ok()?.ok()?;
            Some(peer.duplicate)
        });
        let answers = futures_util::future::join_all(requests).await;
        answers.into_iter().flatten().any(|duplicate| duplicate)
    }
}

/// An open incoming link; counted until it is dropped.
struct IncomingLink<'a> {
    links: &'a Links,
    incarnation: Incarnation,
}

impl<'a> IncomingLink<'a> {
    fn new(links: &'a Links, incarnation: Incarnation) -> IncomingLink<'a> {
        let mut last = links.presence.borrow_mut();
        let new = IncarnationPresence { incarnation, last_frame: Instant::now(), open_links: 0 };
        let entry = last.entry(incarnation.member).or_insert(new);
        if entry.incarnation != incarnation {
            // A process that only checks for a duplicate sends no frames, so a link replaces another incarnation's entry only
            // with its first frame.
            return IncomingLink { links, incarnation };
        }
        entry.open_links += 1;
        IncomingLink { links, incarnation }
    }

    fn frame_received(&self) {
        let mut last = self.links.presence.borrow_mut();
        let Some(entry) = last.get_mut(&self.incarnation.member) else { return };
        if entry.incarnation != self.incarnation {
            *entry = IncarnationPresence {
                incarnation: self.incarnation,
                last_frame: Instant::now(),
                open_links: 1,
            };
        }
        entry.last_frame = Instant::now();
    }
}

impl Drop for IncomingLink<'_> {
    fn drop(&mut self) {
        if let Some(entry) = self.links.presence.borrow_mut().get_mut(&self.incarnation.member) {
            if entry.incarnation == self.incarnation {
                entry.open_links = entry.open_links.saturating_sub(1);
            }
        }
    }
}

/// Sends frames until none is queued for [`OUTGOING_IDLE_TIMEOUT`]; an error if the link ends first.
async fn send_frames(
    stream: TcpStream,
    mut sealer: Sealer,
    first: Vec<u8>,
    frames: &mut mpsc::Receiver<Vec<u8>>,
) -> io::Result<()> {
    let (mut read, mut write) = stream.into_split();
    let mut next = Some(first);
    let mut unexpected = [0; 16];
    loop {
        let mut bytes = Vec::new();
        // All queued frames are sent in one write.
        while let Some(frame) = next.take().or_else(|| frames.try_recv().ok()) {
            bytes.extend(sealer.seal(&frame));
            if bytes.len() > 64 << 10 {
                break;
            }
        }
        timeout(WRITE_TIMEOUT, write.write_all(&bytes))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        // Both branches are cancel-safe: a branch dropped at its await has taken nothing out.
        next = tokio::select! {
            frame = timeout(OUTGOING_IDLE_TIMEOUT, frames.recv()) => match frame {
                Ok(Some(frame)) => Some(frame),
                _ => return Ok(()),
            },
            // The other side sends nothing on this link after the handshake, so a read returns only when the link has ended.
            _ = read.read(&mut unexpected) => return Err(io::ErrorKind::ConnectionReset.into()),
        };
    }
}
