//! A minimal TCP relay on the dispatcher's runtime, used as the baseline for streaming measurements.
//! `relay TARGET` listens on a free port and prints it.

use tokio::net::{TcpListener, TcpStream};

fn main() {
    let target: std::net::SocketAddr =
        std::env::args().nth(1).and_then(|a| a.parse().ok()).expect("relay TARGET");
    actix_rt::System::new().block_on(async move {
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        println!("{}", socket.local_addr().expect("an address"));
        while let Ok((mut client, _)) = socket.accept().await {
            actix_rt::spawn(async move {
                if let Ok(mut worker) = TcpStream::connect(target).await {
                    let _ = tokio::io::copy_bidirectional(&mut client, &mut worker).await;
                }
            });
        }
    });
}
