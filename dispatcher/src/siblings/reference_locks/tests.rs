use super::*;
use std::path::PathBuf;

/// A listening socket, and a directory that does not exist yet.
fn set_up() -> (std::net::TcpListener, PathBuf) {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
    let port = socket.local_addr().expect("bound").port();
    (socket, std::env::temp_dir().join(format!("lineroute-locks-{}-{port}", std::process::id())))
}

fn open(
    socket: &std::net::TcpListener,
    directory: &Path,
    may_have_sibling: &Rc<Cell<bool>>,
) -> Rc<ReferenceLocks> {
    let sibling = may_have_sibling.clone();
    ReferenceLocks::open(directory, socket.as_fd(), Box::new(move || sibling.get())).expect("a socket")
}

/// Two open file descriptions stand for two processes. A lock is exclusive until it is dropped, and others are not affected.
#[test]
fn a_reference_is_locked_once_until_its_lock_is_dropped() {
    actix_rt::System::new().block_on(async {
        let (socket, directory) = set_up();
        let yes = Rc::new(Cell::new(true));
        let (one, other) = (open(&socket, &directory, &yes), open(&socket, &directory, &yes));
        let lock = one.lock("a").expect("free");
        let neighbours: Vec<_> = (0..100).map(|n| one.lock(&format!("a{n}")).expect("free")).collect();
        assert!(matches!(other.lock("a"), Err(LockError::Held)));
        drop(neighbours);
        assert!(matches!(other.lock("a"), Err(LockError::Held)));
        assert!(other.lock("a7").is_ok());
        drop(lock);
        let lock = other.lock("a").expect("free");
        assert!(matches!(one.lock("a"), Err(LockError::Held)));
        drop(lock);
        // Another dispatcher that shares the directory has another socket.
        let (another_socket, _) = set_up();
        let _lock = one.lock("a").expect("free");
        assert!(open(&another_socket, &directory, &yes).lock("a").is_ok());
        let _ = fs::remove_dir_all(directory);
    });
}

/// Without its file a process refuses what a sibling may have, and serves the rest. What it serves is locked once there is a file.
#[test]
fn without_its_file_a_process_accepts_only_while_it_is_alone() {
    actix_rt::System::new().block_on(async {
        let (socket, directory) = set_up();
        fs::write(&directory, "in the way").expect("a file");
        let sibling = Rc::new(Cell::new(true));
        let locks = open(&socket, &directory, &sibling);
        assert!(matches!(locks.lock("a"), Err(LockError::Unavailable(_))));
        sibling.set(false);
        let (kept, ended) = (locks.lock("a").expect("alone"), locks.lock("b").expect("alone"));
        drop(ended);
        fs::remove_file(&directory).expect("a file");
        while locks.file.borrow().is_none() {
            tokio::time::sleep(OPEN_RETRY_INTERVAL).await;
        }
        let other = open(&socket, &directory, &sibling);
        assert!(matches!(other.lock("a"), Err(LockError::Held)));
        assert!(other.lock("b").is_ok());
        drop(kept);
        assert!(other.lock("a").is_ok());
        let _ = fs::remove_dir_all(directory);
    });
}

/// Guards against locks that nobody sees: the file is removed while a process runs, and the next process makes another.
#[test]
fn references_stay_locked_when_the_file_is_removed() {
    actix_rt::System::new().block_on(async {
        let (socket, directory) = set_up();
        let yes = Rc::new(Cell::new(true));
        let locks = open(&socket, &directory, &yes);
        let (kept, ended) = (locks.lock("a").expect("free"), locks.lock("b").expect("free"));
        fs::remove_dir_all(&directory).expect("a directory");
        drop(ended);
        tokio::time::sleep(FILE_CHECK_INTERVAL * 2).await;
        let other = open(&socket, &directory, &yes);
        assert!(matches!(other.lock("a"), Err(LockError::Held)));
        assert!(other.lock("b").is_ok());
        drop(kept);
        assert!(other.lock("a").is_ok());
        let _ = fs::remove_dir_all(directory);
    });
}
