//! The admin listener, where operators inspect and control this dispatcher. JSON over HTTP, on a loopback address
//! or a Unix socket. Calls, bytes and time are bounded, and each connection carries a single call, so that operators
//! don't take up resources that clients need.

pub mod api;
pub mod auth;
mod calls;
pub mod console;
mod refusals;

pub use calls::AdminService;

use crate::accept::AcceptRetry;
use crate::config::{Admin, AdminAddr};
use crate::local_faults::open_with_retry;
use actix_http::{header, HttpMessage, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory};
use auth::AdminKeys;
use bytes::{Bytes, BytesMut};
use calls::{error_reply, Reply};
use futures_util::StreamExt;
use refusals::JsonErrorBodies;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tracing::{info, warn};

/// The largest request body that is accepted.
const MAX_BODY: usize = 16 << 10;
/// Time limit for receiving a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time limit for a connection as a whole. Longer than that for the request, since the response may wait for the disk.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(6);
const TOO_MANY_CALLS_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n\
    Content-Type: application/json\r\nContent-Length: 44\r\n\r\n{\"error\":\"too many admin calls are in hand\"}\n";

/// Handle to the running listener.
#[derive(Clone)]
pub struct Handle(Rc<RefCell<Option<AdminKeys>>>);

impl Handle {
    /// Replaces the keys.
    pub fn set_keys(&self, keys: Option<AdminKeys>) {
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

/// Removes the socket file of a process that no longer runs. Any other file at the path is left alone.
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
pub async fn start(config: Admin, calls: Rc<AdminService>) -> Result<Handle, String> {
    let socket = Socket::bind(&config.listen).await?;
    info!(addr = %socket.addr(&config.listen), "admin listens");
    let keys = Rc::new(RefCell::new(config.keys));
    let listener = Rc::new(AdminListener { keys: keys.clone(), calls, open: Cell::new(0) });
    actix_rt::spawn(listener.serve(socket, config.max_connections));
    Ok(Handle(keys))
}

struct AdminListener {
    keys: Rc<RefCell<Option<AdminKeys>>>,
    calls: Rc<AdminService>,
    open: Cell<usize>,
}

impl AdminListener {
    async fn serve(self: Rc<Self>, socket: Socket, max_connections: usize) {
        let this = self.clone();
        let service = move |request: Request| {
            let this = this.clone();
            async move { Ok::<_, Infallible>(this.handle(request).await) }
        };
        let factory = HttpService::<JsonErrorBodies<Box<dyn Io>>, _, _>::build()
            .keep_alive(KeepAlive::Disabled)
            .client_request_timeout(REQUEST_TIMEOUT)
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
            let taken = self.open.get() < max_connections;
            // The first connection over the limit gets an error response; further ones are closed.
            if self.open.get() > max_connections {
                continue;
            }
            self.open.set(self.open.get() + 1);
            actix_rt::spawn(async move {
                let served = async {
                    match taken {
                        true => drop(service.call((JsonErrorBodies::new(stream), None)).await),
                        false => drop(stream.write_all(TOO_MANY_CALLS_RESPONSE).await),
                    }
                };
                let _ = tokio::time::timeout(CONNECTION_TIMEOUT, served).await;
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
        let provided = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
        let provided = provided.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
        let admitted = self.keys.borrow().as_ref().is_none_or(|keys| keys.accepts(provided));
        if !admitted {
            warn!("admin: rejected a call with a wrong or missing key");
            return error_reply(
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
                let chunk = chunk
                    .map_err(|e| error_reply(StatusCode::BAD_REQUEST, None, format!("the body: {e}")))?;
                if body.len() + chunk.len() > MAX_BODY {
                    let message = format!("the body holds more than {MAX_BODY} bytes");
                    return Err(error_reply(StatusCode::PAYLOAD_TOO_LARGE, None, message));
                }
                body.extend_from_slice(&chunk);
            }
            Ok(body)
        };
        // Counted from the start of the connection: head and body share the time limit.
        let by = request_start + REQUEST_TIMEOUT;
        let late = || Err(error_reply(StatusCode::REQUEST_TIMEOUT, None, "the body did not come in time"));
        match tokio::time::timeout_at(by.into(), read).await.unwrap_or_else(|_| late()) {
            Ok(body) => self.calls.handle(&method, &path, &body).await,
            Err(reply) => reply,
        }
    }
}
