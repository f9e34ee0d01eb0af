//! The admin listener: where operators see this dispatcher and steer it. JSON over HTTP, on a loopback address
//! or a Unix socket. Bounded in calls, bytes and time; a call at a time on a connection, so that nothing is
//! kept for operators that clients need.

pub mod api;
pub mod auth;
mod calls;
pub mod console;
mod refusals;

pub use calls::Calls;

use crate::accept::AcceptRetry;
use crate::config::{Admin, AdminAddr};
use crate::local_faults::open_with_retry;
use actix_http::{header, HttpMessage, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory};
use auth::AdminKeys;
use bytes::{Bytes, BytesMut};
use calls::{fault, Reply};
use futures_util::StreamExt;
use refusals::WordedRefusals;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tracing::{info, warn};

/// A body holds so much at most.
const MAX_BODY: usize = 16 << 10;
/// A request must be whole in this time.
const WHOLE_WITHIN: Duration = Duration::from_millis(2500);
/// A connection ends after this, whatever is on it: the answer may wait for the disk.
const CALL_WITHIN: Duration = Duration::from_secs(6);
const NO_ROOM: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n\
    Content-Type: application/json\r\nContent-Length: 44\r\n\r\n{\"error\":\"too many admin calls are in hand\"}\n";

/// The listener as `main` holds it.
#[derive(Clone)]
pub struct Handle(Rc<RefCell<Option<AdminKeys>>>);

impl Handle {
    /// Goes over to other keys.
    pub fn rekey(&self, keys: Option<AdminKeys>) {
        *self.0.borrow_mut() = keys;
    }
}

trait Io: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Io for T {}

enum Socket {
    Tcp(TcpListener),
    Unix(UnixListener),
}

impl Socket {
    async fn bind(at: &AdminAddr) -> Result<Socket, String> {
        let fault = |e: std::io::Error| format!("operator's file: admin.listen: {at}: {e}");
        Ok(match at {
            AdminAddr::Tcp(addr) => {
                Socket::Tcp(open_with_retry(|| TcpListener::bind(addr)).await.map_err(fault)?)
            }
            AdminAddr::Unix(path) => {
                remove_stale(path).await?;
                let socket = UnixListener::bind(path).map_err(fault)?;
                std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(fault)?;
                Socket::Unix(socket)
            }
        })
    }

    fn addr(&self, at: &AdminAddr) -> String {
        match self {
            Socket::Tcp(socket) => socket.local_addr().map_or_else(|_| at.to_string(), |a| a.to_string()),
            Socket::Unix(_) => at.to_string(),
        }
    }

    async fn accept(&self) -> std::io::Result<Box<dyn Io>> {
        Ok(match self {
            Socket::Tcp(socket) => Box::new(socket.accept().await?.0),
            Socket::Unix(socket) => Box::new(socket.accept().await?.0),
        })
    }
}

/// Takes away the socket of a process that is gone. Anything else at the path stays.
async fn remove_stale(path: &Path) -> Result<(), String> {
    let is_socket = std::fs::symlink_metadata(path).is_ok_and(|m| m.file_type().is_socket());
    if !is_socket {
        return Ok(());
    }
    match UnixStream::connect(path).await {
        Ok(_) => {
            Err(format!("operator's file: admin.listen: {}: another process listens there", path.display()))
        }
        Err(_) => std::fs::remove_file(path)
            .map_err(|e| format!("operator's file: admin.listen: {}: {e}", path.display())),
    }
}

/// Binds the listener and serves it.
///
/// # Errors
/// The address can't be bound.
pub async fn start(config: Admin, calls: Rc<Calls>) -> Result<Handle, String> {
    let socket = Socket::bind(&config.listen).await?;
    info!(addr = %socket.addr(&config.listen), "admin listens");
    let keys = Rc::new(RefCell::new(config.keys));
    let front = Rc::new(Front { keys: keys.clone(), calls, open: Cell::new(0) });
    actix_rt::spawn(front.serve(socket, config.max_connections));
    Ok(Handle(keys))
}

struct Front {
    keys: Rc<RefCell<Option<AdminKeys>>>,
    calls: Rc<Calls>,
    open: Cell<usize>,
}

impl Front {
    async fn serve(self: Rc<Self>, socket: Socket, most: usize) {
        let this = self.clone();
        let service = move |request: Request| {
            let this = this.clone();
            async move { Ok::<_, Infallible>(this.handle(request).await) }
        };
        let factory = HttpService::<WordedRefusals<Box<dyn Io>>, _, _>::build()
            .keep_alive(KeepAlive::Disabled)
            .client_request_timeout(WHOLE_WITHIN)
            .on_connect_ext(|_, data| {
                data.insert(Instant::now());
            })
            .client_disconnect_timeout(Duration::from_millis(500))
            .h1(actix_service::fn_service(service).into_factory());
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        let mut retry = AcceptRetry::new("admin");
        loop {
            let mut stream = match socket.accept().await {
                Ok(stream) => stream,
                Err(e) => {
                    retry.failed(&e).await;
                    continue;
                }
            };
            retry.succeeded();
            let (this, service) = (self.clone(), service.clone());
            let taken = self.open.get() < most;
            // One more than there is room for is told so; those beyond it are closed.
            if self.open.get() > most {
                continue;
            }
            self.open.set(self.open.get() + 1);
            actix_rt::spawn(async move {
                let served = async {
                    match taken {
                        true => drop(service.call((WordedRefusals::new(stream), None)).await),
                        false => drop(stream.write_all(NO_ROOM).await),
                    }
                };
                let _ = tokio::time::timeout(CALL_WITHIN, served).await;
                this.open.set(this.open.get() - 1);
            });
        }
    }

    async fn handle(&self, request: Request) -> Response<Bytes> {
        let (status, body) = self.reply(request).await;
        let mut response = Response::with_body(status, Bytes::from(body + "\n"));
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }

    async fn reply(&self, mut request: Request) -> Reply {
        let given = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
        let given = given.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
        let admitted = self.keys.borrow().as_ref().is_none_or(|keys| keys.admits(given));
        if !admitted {
            warn!("admin: a call without the key");
            return fault(
                StatusCode::UNAUTHORIZED,
                Some("Authorization"),
                "Authorization: Bearer KEY is wrong or missing",
            );
        }
        let (method, path) = (request.method().clone(), request.path().to_owned());
        let request_start = request.conn_data::<Instant>().copied().unwrap_or_else(Instant::now);
        let mut payload = request.take_payload();
        let read = async {
            let mut body = BytesMut::new();
            while let Some(chunk) = payload.next().await {
                let chunk =
                    chunk.map_err(|e| fault(StatusCode::BAD_REQUEST, None, format!("the body: {e}")))?;
                if body.len() + chunk.len() > MAX_BODY {
                    let words = format!("the body holds more than {MAX_BODY} bytes");
                    return Err(fault(StatusCode::PAYLOAD_TOO_LARGE, None, words));
                }
                body.extend_from_slice(&chunk);
            }
            Ok(body)
        };
        // Counted from the connection's start: head and body share the time.
        let by = request_start + WHOLE_WITHIN;
        let late = || Err(fault(StatusCode::REQUEST_TIMEOUT, None, "the body did not come in time"));
        match tokio::time::timeout_at(by.into(), read).await.unwrap_or_else(|_| late()) {
            Ok(body) => self.calls.answer(&method, &path, &body).await,
            Err(reply) => reply,
        }
    }
}
