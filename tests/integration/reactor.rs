//! Tests of the reactor's resource bounds with real loopback sockets. The operating system
//! chooses the ports, and no assertion depends on time.

use lilacfork::messages::{
    Call, CallId, CallResult, ConnectionId, Destination, Effect, Listener, Now, Reply, Request,
};
use lilacfork::reactor::{Endpoints, Handler, Reactor, ResourceBounds};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;

const WORKERS: u64 = 64;
const ROUNDS: u64 = 3;

/// A handler that calls every worker, and calls all of them again once all have responded, for
/// `ROUNDS` rounds.
struct Caller {
    port: u16,
    completed_calls: u64,
    started: bool,
    /// Receives the number of completed calls after the last round.
    done: Sender<u64>,
}

impl Caller {
    fn call_all_workers(&self, out: &mut Vec<Effect>) {
        for n in 0..WORKERS {
            // All addresses in 127.0.0.0/8 are loopback addresses. The reactor treats them
            // as different workers.
            let address = format!("127.0.{}.{}:{}", n / 200, n % 200 + 1, self.port);
            let call = Call {
                destination: Destination::Worker(address),
                method: "POST",
                path: "/commands".into(),
                body: b"{}".to_vec(),
                timeout_ms: 60_000,
            };
            out.push(Effect::Call(CallId(self.completed_calls + n), call));
        }
    }
}

impl Handler for Caller {
    fn request(&mut self, _: Now, _: ConnectionId, _: Listener, _: Request, _: &mut Vec<Effect>) {}

    fn call_completed(&mut self, _: Now, _: CallId, result: CallResult, out: &mut Vec<Effect>) {
        assert!(matches!(result, Ok((200, _))), "{result:?}");
        self.completed_calls += 1;
        if self.completed_calls == WORKERS * ROUNDS {
            let _ = self.done.send(self.completed_calls);
        } else if self.completed_calls.is_multiple_of(WORKERS) {
            self.call_all_workers(out);
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Effect>) -> u64 {
        // The monotonic clock starts above zero, so that events older than the process have a
        // positive time.
        assert!(now.ms > 24 * 3600 * 1000, "{now:?}");
        if !std::mem::replace(&mut self.started, true) {
            self.call_all_workers(out);
        }
        now.ms + 1000
    }
}

fn endpoints() -> Endpoints {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    Endpoints {
        client: any,
        peer: any,
        kv_store: any,
        cloud: any,
    }
}

/// Responds to every request of a connection until the client closes the connection.
fn serve(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        if stream.write_all(response).is_err() {
            break;
        }
    }
}

/// In an earlier version without a shared bound, one connection for each of many workers could use
/// up all the connections that a controller may open, and none remained for the key-value store.
#[test]
fn calls_to_many_workers_share_a_bounded_number_of_connections() {
    let listener = TcpListener::bind("0.0.0.0:0").expect("loopback");
    let port = listener.local_addr().expect("bound").port();
    let opened = Arc::new(AtomicUsize::new(0));
    let count = opened.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || serve(stream));
        }
    });
    // A quarter of 128 connections is for calls. Of these 32, 20 are for the key-value store and
    // the cloud, and two for the one peer. Ten remain for workers.
    let bounds = ResourceBounds {
        max_connections: 128,
        ram_mb: 40.0,
    };
    let reactor = Reactor::new(endpoints(), bounds, 1).expect("the reactor listens");
    assert_eq!(reactor.max_worker_connections(), 10);
    let (done, all_completed) = channel();
    std::thread::spawn(move || {
        let mut caller = Caller {
            port,
            completed_calls: 0,
            started: false,
            done,
        };
        reactor.run(&mut caller)
    });
    let completed_calls = all_completed.recv().expect("all calls complete");
    assert_eq!(completed_calls, WORKERS * ROUNDS);
    // At most ten connections are kept open between rounds, and all others are opened again.
    // Without a bound, each worker's connection would be opened once and kept.
    let opened = opened.load(Ordering::SeqCst) as u64;
    let min_opened = WORKERS + (ROUNDS - 1) * (WORKERS - 10);
    assert!(
        (min_opened..=completed_calls).contains(&opened),
        "opened: {opened}"
    );
}

/// A handler that replies to every request with the length of its body.
struct BodyLengthHandler;

impl Handler for BodyLengthHandler {
    fn request(
        &mut self,
        _: Now,
        conn: ConnectionId,
        _: Listener,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        let reply = Reply::json(200, &request.body.len());
        out.push(Effect::Reply(conn, reply));
    }

    fn call_completed(&mut self, _: Now, _: CallId, _: CallResult, _: &mut Vec<Effect>) {}

    fn tick(&mut self, now: Now, _: &mut Vec<Effect>) -> u64 {
        now.ms + 1000
    }
}

/// Reads the protocol version and the status code of a response. Returns an empty string if the
/// connection was closed before that.
fn read_status_line_start(stream: &mut TcpStream) -> String {
    let mut head = [0; 12];
    match stream.read_exact(&mut head) {
        Ok(()) => String::from_utf8_lossy(&head).into_owned(),
        Err(_) => String::new(),
    }
}

/// In an earlier version, the largest allowed requests on all sockets at once could take more
/// memory than a controller with 27 MB has. Large requests that don't fit must be rejected
/// immediately, while small ones are still served.
#[test]
fn large_incomplete_requests_are_rejected_when_memory_is_short() {
    // With 2 MB of memory, unfinished requests may hold 250 kB in total, an equal share of 5.2 kB
    // for each connection.
    let bounds = ResourceBounds {
        max_connections: 64,
        ram_mb: 2.0,
    };
    let reactor = Reactor::new(endpoints(), bounds, 1).expect("the reactor listens");
    let address = reactor.client_address().expect("bound");
    std::thread::spawn(move || reactor.run(&mut BodyLengthHandler));
    let head = b"POST /x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n";
    let mut streams = Vec::new();
    let mut rejected = 0;
    for _ in 0..12 {
        let mut stream = TcpStream::connect(address).expect("connected");
        stream.write_all(head).expect("sent");
        stream.write_all(&[b' '; 50_000]).expect("sent");
        // A small request on another connection receives its response after the reactor has read
        // these bytes, however much memory they hold.
        let mut small = TcpStream::connect(address).expect("connected");
        small
            .write_all(b"GET /ready HTTP/1.1\r\n\r\n")
            .expect("sent");
        assert_eq!(read_status_line_start(&mut small), "HTTP/1.1 200");
        streams.push(stream);
    }
    for mut stream in streams {
        // Requests that the reactor still holds can be completed. The others have received a
        // rejection.
        let finished = stream.write_all(&[b' '; 10_000]).is_ok();
        match read_status_line_start(&mut stream).as_str() {
            "HTTP/1.1 200" => assert!(finished),
            _ => rejected += 1,
        }
    }
    assert!((7..=9).contains(&rejected), "rejected: {rejected}");
}
