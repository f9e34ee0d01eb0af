//! Links between members: TCP, one for each way, opened when there is something to say. What is said and how
//! it is proven is `lineroute_fleet::link`; here are the sockets and their bounds. A frame that can't be sent is
//! one that is lost: whoever needs an answer asks again.

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

/// Links that this process opens at a time; the one unused for longest gives way.
pub const MOST_OUT: usize = 64;
/// Links that it takes; further callers wait until they are closed.
pub const MOST_IN: usize = 96;
/// Frames that wait for one link; more are lost.
const QUEUE: usize = 256;
const CONNECT: Duration = Duration::from_millis(500);
/// A handshake must be over by then, a write through.
const HANDSHAKE: Duration = Duration::from_secs(1);
const WRITE: Duration = Duration::from_secs(2);
/// A link that is not used ends.
const IDLE_OUT: Duration = Duration::from_secs(10);
const IDLE_IN: Duration = Duration::from_secs(60);
/// Between two calls on a member that could not be reached.
const BACK_OFF: Duration = Duration::from_millis(100);
/// A process that was heard within this time, over a link that is still open, is there.
const HERE: Duration = Duration::from_secs(1);
/// Refusals are told of this often at most.
const TELL: Duration = Duration::from_secs(5);

/// Whom links are for.
pub trait Hearer {
    /// A frame of a member has come.
    fn frame(&self, from: Member, frame: Frame);
    /// The newest incarnation that is known of a member.
    fn known(&self, member: Member) -> Option<u64>;
    /// A member knows of this incarnation of this process.
    fn told(&self, born: u64);
}

#[derive(Clone, Copy)]
struct Heard {
    incarnation: Incarnation,
    at: Instant,
    open: usize,
}

struct Out {
    queue: mpsc::Sender<Vec<u8>>,
    used: Instant,
}

/// Counts of what went wrong, for those who look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub sent: u64,
    pub taken: u64,
    pub bytes_out: u64,
    pub lost: u64,
    pub refused: u64,
}

/// All links of this process.
pub struct Links {
    me: Weak<Links>,
    member: Weak<dyn Hearer>,
    names: Vec<String>,
    addrs: Vec<SocketAddr>,
    roster: [u8; 16],
    incarnation: Cell<Incarnation>,
    keys: RefCell<KeyRing>,
    out: RefCell<FxHashMap<Member, Out>>,
    heard: RefCell<FxHashMap<Member, Heard>>,
    counts: Cell<Counts>,
    told: Cell<Option<Instant>>,
    taken: Cell<usize>,
}

fn nonce() -> [u8; 16] {
    let mut nonce = [0; 16];
    // Without random numbers a handshake can be played again: none is made then.
    if getrandom::fill(&mut nonce).is_err() {
        nonce = [0; 16];
    }
    nonce
}

impl Links {
    pub fn new(config: &Fleet, incarnation: Incarnation, member: Weak<dyn Hearer>) -> Rc<Links> {
        Rc::new_cyclic(|me| Links {
            me: me.clone(),
            member,
            names: config.names.clone(),
            addrs: config.addrs.clone(),
            roster: member_list_digest(&config.names),
            incarnation: Cell::new(incarnation),
            keys: RefCell::new(config.keys.clone()),
            out: RefCell::default(),
            heard: RefCell::default(),
            counts: Cell::default(),
            told: Cell::new(None),
            taken: Cell::new(0),
        })
    }

    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Goes over to other keys: for new links.
    pub fn rekey(&self, keys: KeyRing) {
        *self.keys.borrow_mut() = keys;
    }

    /// Goes on as another incarnation: links tell of it anew.
    pub fn reborn(&self, incarnation: Incarnation) {
        self.incarnation.set(incarnation);
        self.out.borrow_mut().clear();
    }

    fn passport(&self) -> LocalIdentity {
        let (incarnation, members) = (self.incarnation.get(), self.names.len() as u16);
        LocalIdentity {
            incarnation,
            members,
            member_list_digest: self.roster,
            keys: self.keys.borrow().clone(),
        }
    }

    /// Sends a frame, over a link that is there or a new one.
    pub fn send(&self, to: Member, frame: &Frame) {
        let bytes = frame.encode();
        let mut out = self.out.borrow_mut();
        if !out.contains_key(&to) {
            if out.len() >= MOST_OUT {
                let oldest = out.iter().min_by_key(|(_, o)| o.used).map(|(member, _)| *member);
                oldest.iter().for_each(|member| drop(out.remove(member)));
            }
            let (queue, frames) = mpsc::channel(QUEUE);
            out.insert(to, Out { queue, used: Instant::now() });
            if let Some(me) = self.me.upgrade() {
                actix_rt::spawn(me.speak(to, frames));
            }
        }
        let Some(link) = out.get_mut(&to) else { return };
        link.used = Instant::now();
        let size = bytes.len() as u64;
        match link.queue.try_send(bytes) {
            Ok(()) => self.count(|c| (c.sent, c.bytes_out) = (c.sent + 1, c.bytes_out + size)),
            Err(_) => self.count(|c| c.lost += 1),
        }
    }

    /// Says what is in the queue, as long as there is anything to say.
    async fn speak(self: Rc<Self>, to: Member, mut frames: mpsc::Receiver<Vec<u8>>) {
        loop {
            // Dropped at its await, a receive has taken nothing out of the queue.
            let Ok(Some(first)) = timeout(IDLE_OUT, frames.recv()).await else { break };
            let spoken = match self.dial(to).await {
                Ok((stream, sealer)) => say(stream, sealer, first, &mut frames).await,
                Err(e) => Err(e),
            };
            match spoken {
                Ok(()) => break,
                Err(e) => debug!(member = self.name(to), error = %e, "fleet: a link ended"),
            }
            // What waited is old by now.
            let mut lost = 0;
            while frames.try_recv().is_ok() {
                lost += 1;
            }
            self.count(|c| c.lost += lost);
            let jitter = Duration::from_millis(u64::from(nonce()[0]) / 2);
            tokio::time::sleep(BACK_OFF + jitter).await;
        }
        // A newer link may have taken its place: then its own queue is closed.
        let mut out = self.out.borrow_mut();
        frames.close();
        if out.get(&to).is_some_and(|o| o.queue.is_closed()) {
            out.remove(&to);
        }
    }

    fn name(&self, member: Member) -> &str {
        self.names.get(usize::from(member.0)).map_or("?", String::as_str)
    }

    async fn dial(&self, to: Member) -> io::Result<(TcpStream, Sealer)> {
        let addr = self.addrs.get(usize::from(to.0)).copied().ok_or(io::ErrorKind::NotFound)?;
        let late = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream = timeout(CONNECT, TcpStream::connect(addr)).await.map_err(late)??;
        stream.set_nodelay(true)?;
        let (stream, peer, sealer) = timeout(HANDSHAKE, self.greet(stream, to)).await.map_err(late)??;
        if let (Some(known), Some(member)) = (peer.known_incarnation, self.member.upgrade()) {
            member.told(known);
        }
        self.look_at(&peer);
        Ok((stream, sealer))
    }

    async fn greet(&self, mut stream: TcpStream, to: Member) -> io::Result<(TcpStream, Peer, Sealer)> {
        let nonce = nonce();
        if nonce == [0; 16] {
            return Err(io::Error::other("no random numbers"));
        }
        let (mut handshake, hello) = ClientHandshake::new(self.passport(), to, nonce);
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
                Err(refusal) => {
                    self.refuse(self.name(to), &refusal);
                    return Err(io::Error::other(refusal));
                }
            }
        }
    }

    fn look_at(&self, peer: &Peer) {
        if !peer.same_member_list {
            let name = self.name(peer.incarnation.member);
            self.tell(|| warn!(member = name, "fleet: its list of members has other names than this one's"));
        }
    }

    fn refuse(&self, who: &str, refusal: &LinkError) {
        self.count(|c| c.refused += 1);
        let refused = self.counts.get().refused;
        self.tell(|| warn!(who, cause = %refusal, refused, "fleet: a link is refused"));
    }

    /// Tells of something now and then only.
    fn tell(&self, tell: impl FnOnce()) {
        if self.told.get().is_none_or(|at| at.elapsed() >= TELL) {
            self.told.set(Some(Instant::now()));
            tell();
        }
    }

    /// Takes links of others.
    pub async fn listen(self: Rc<Self>, socket: TcpListener) {
        let mut retry = AcceptRetry::new("fleet");
        loop {
            // Those who come beyond the bound wait in the kernel until a link has ended.
            while self.taken.get() >= MOST_IN {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            match socket.accept().await {
                Ok((stream, from)) => {
                    retry.succeeded();
                    self.taken.set(self.taken.get() + 1);
                    let me = self.clone();
                    actix_rt::spawn(async move {
                        let _ = stream.set_nodelay(true);
                        if let Err(e) = me.hear(stream, from).await {
                            debug!(from = %from, error = %e, "fleet: a link to this member ended");
                        }
                        me.taken.set(me.taken.get() - 1);
                    });
                }
                Err(e) => retry.failed(&e).await,
            }
        }
    }

    async fn hear(&self, mut stream: TcpStream, from: SocketAddr) -> io::Result<()> {
        let nonce = nonce();
        if nonce == [0; 16] {
            return Err(io::Error::other("no random numbers"));
        }
        let mut handshake = ServerHandshake::new(self.passport(), nonce);
        let mut bytes = vec![0; 16 << 10];
        let shake = async {
            loop {
                let size = stream.read(&mut bytes[..512]).await?;
                if size == 0 {
                    self.refuse(&from.to_string(), &LinkError::ClosedBeforeProof);
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
                }
                let known = |member| self.member.upgrade().and_then(|m| m.known(member));
                let here = |incarnation: Incarnation| self.is_here(incarnation);
                match handshake.receive(&bytes[..size], known, here) {
                    Ok(HandshakeStep::Incomplete) => {}
                    Ok(HandshakeStep::Send(words)) => stream.write_all(&words).await?,
                    Ok(HandshakeStep::Established(peer, opener)) => return Ok((peer, opener)),
                    Err(refusal) => {
                        self.refuse(&from.to_string(), &refusal);
                        return Err(io::Error::other(refusal));
                    }
                }
            }
        };
        let (peer, mut opener) =
            timeout(HANDSHAKE, shake).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.look_at(&peer);
        let open = Open::new(self, peer.incarnation);
        loop {
            loop {
                let body = opener
                    .next_frame()
                    .inspect_err(|refusal| self.refuse(self.name(peer.incarnation.member), refusal));
                let Some(body) = body.map_err(io::Error::other)? else { break };
                let Some(frame) = Frame::decode(&body) else {
                    self.refuse(self.name(peer.incarnation.member), &LinkError::Malformed);
                    return Err(io::ErrorKind::InvalidData.into());
                };
                open.heard();
                self.count(|c| c.taken += 1);
                if let Some(member) = self.member.upgrade() {
                    member.frame(peer.incarnation.member, frame);
                }
            }
            let size = timeout(IDLE_IN, stream.read(&mut bytes))
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            if size == 0 {
                return Ok(());
            }
            opener.push(&bytes[..size]);
            // A member that talks without end must not hold up clients.
            tokio::task::yield_now().await;
        }
    }

    /// Whether another process than this incarnation's was just heard as the same member, over a link that is open.
    fn is_here(&self, incarnation: Incarnation) -> bool {
        let heard = self.heard.borrow().get(&incarnation.member).copied();
        heard.is_some_and(|h| h.incarnation != incarnation && h.open > 0 && h.at.elapsed() < HERE)
    }

    /// Whether one of these says that a process of this name is there already.
    pub async fn is_taken(&self, asked: &[Member]) -> bool {
        let me = self.incarnation.get().member;
        let calls = asked.iter().filter(|m| **m != me).map(|to| async move {
            let addr = self.addrs.get(usize::from(to.0)).copied()?;
            let stream = timeout(CONNECT, TcpStream::connect(addr)).await.ok()?.ok()?;
            let (_, peer, _) = timeout(CONNECT, self.greet(stream, *to)).await.ok()?.ok()?;
            Some(peer.duplicate)
        });
        let answers = futures_util::future::join_all(calls).await;
        answers.into_iter().flatten().any(|here| here)
    }
}

/// A link of another that is open, for as long as it is.
struct Open<'a> {
    links: &'a Links,
    incarnation: Incarnation,
}

impl<'a> Open<'a> {
    fn new(links: &'a Links, incarnation: Incarnation) -> Open<'a> {
        let mut heard = links.heard.borrow_mut();
        let new = Heard { incarnation, at: Instant::now(), open: 0 };
        let entry = heard.entry(incarnation.member).or_insert(new);
        if entry.incarnation != incarnation {
            // One that only asks whether it is there says nothing, and takes nobody's place.
            return Open { links, incarnation };
        }
        entry.open += 1;
        Open { links, incarnation }
    }

    fn heard(&self) {
        let mut heard = self.links.heard.borrow_mut();
        let Some(entry) = heard.get_mut(&self.incarnation.member) else { return };
        if entry.incarnation != self.incarnation {
            *entry = Heard { incarnation: self.incarnation, at: Instant::now(), open: 1 };
        }
        entry.at = Instant::now();
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        if let Some(entry) = self.links.heard.borrow_mut().get_mut(&self.incarnation.member) {
            if entry.incarnation == self.incarnation {
                entry.open = entry.open.saturating_sub(1);
            }
        }
    }
}

/// Says frames until there are none for a while; an error where the link ends first.
async fn say(
    stream: TcpStream,
    mut sealer: Sealer,
    first: Vec<u8>,
    frames: &mut mpsc::Receiver<Vec<u8>>,
) -> io::Result<()> {
    let (mut read, mut write) = stream.into_split();
    let mut next = Some(first);
    let mut none = [0; 16];
    loop {
        let mut bytes = Vec::new();
        // Whatever waits goes out in one write.
        while let Some(frame) = next.take().or_else(|| frames.try_recv().ok()) {
            bytes.extend(sealer.seal(&frame));
            if bytes.len() > 64 << 10 {
                break;
            }
        }
        timeout(WRITE, write.write_all(&bytes))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        // Each branch may be dropped at its await: nothing was taken out by then.
        next = tokio::select! {
            frame = timeout(IDLE_OUT, frames.recv()) => match frame {
                Ok(Some(frame)) => Some(frame),
                _ => return Ok(()),
            },
            // The other side never speaks on this link: if anything comes, it is its end.
            _ = read.read(&mut none) => return Err(io::ErrorKind::ConnectionReset.into()),
        };
    }
}
