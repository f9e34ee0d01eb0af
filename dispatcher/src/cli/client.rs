//! Calls to the admin listener of a running dispatcher.

use super::Failure;
use crate::admin::api::Fault;
use crate::admin::auth::first_key;
use crate::config::AdminAddr;
use actix_tls::connect::{ConnectInfo, Connection};
use awc::http::{Method, Uri};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::UnixStream;

/// Time limit of a call; a running dispatcher answers earlier.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The address of a dispatcher's admin listener and the key for it.
#[derive(Clone, Debug, clap::Args)]
pub struct Admin {
    /// The admin listener: ADDRESS:PORT on loopback, or the path of its Unix socket
    #[arg(long, value_name = "ADDR")]
    admin: AdminAddr,
    /// File with the bearer key
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
}

impl Admin {
    /// Sends a request and parses the answer.
    pub fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, Failure> {
        let key = match &self.key_file {
            Some(file) => {
                let text = std::fs::read_to_string(file).map_err(|e| e.to_string());
                let key = text.and_then(|text| first_key(&text));
                Some(key.map_err(|e| Failure::failed(format!("--key-file: {}: {e}", file.display())))?)
            }
            None => None,
        };
        let body = body.map(serde_json::to_vec).transpose().map_err(|e| Failure::failed(e.to_string()))?;
        let (status, answer) = actix_rt::System::new().block_on(self.send(method, path, key, body))?;
        if (200..300).contains(&status) {
            return serde_json::from_slice(&answer)
                .map_err(|e| Failure::failed(format!("{}: not a dispatcher's answer: {e}", self.admin)));
        }
        let message = serde_json::from_slice::<Fault>(&answer).map(|f| f.error);
        Err(Failure::failed(
            message.unwrap_or_else(|_| format!("{} answered with status {status}", self.admin)),
        ))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        key: Option<String>,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), Failure> {
        let client = awc::Client::builder().timeout(ANSWER_TIMEOUT).disable_redirects();
        let (client, host) = match &self.admin {
            AdminAddr::Tcp(addr) => (client.finish(), addr.to_string()),
            AdminAddr::Unix(path) => {
                let path = path.clone();
                let connect = actix_service::fn_service(move |info: ConnectInfo<Uri>| {
                    let path = path.clone();
                    async move {
                        let stream =
                            UnixStream::connect(path).await.map_err(actix_tls::connect::ConnectError::Io)?;
                        Ok(Connection::new(info.request().clone(), stream))
                    }
                });
                (client.connector(awc::Connector::new().connector(connect)).finish(), "localhost".into())
            }
        };
        let mut request = client.request(method, format!("http://{host}{path}"));
        if let Some(key) = key {
            request = request.bearer_auth(key);
        }
        let unreachable = |e: String| {
            Failure::unreachable(format!("--admin: no dispatcher answers at {}: {e}", self.admin))
        };
        let mut answer =
            request.send_body(body.unwrap_or_default()).await.map_err(|e| unreachable(e.to_string()))?;
        let text = answer.body().limit(MAX_ANSWER_BYTES).await.map_err(|e| unreachable(e.to_string()))?;
        Ok((answer.status().as_u16(), text.to_vec()))
    }
}
