//! The reactor's bounds, with real sockets on loopback: the system chooses the ports, and
//! no assertion depends on time.

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

/// Calls every worker, and again when all have responded.
struct Caller {
    port: u16,
    answered: u64,
    asked: bool,
    done: Sender<u64>,
}

impl Caller {
    fn ask_all(&self, out: &mut Vec<Effect>) {
        for n in 0..WORKERS {
            // All of 127/8 is this machine; to the reactor they are many.
            let address = format!("127.0.{}.{}:{}", n / 200, n % 200 + 1, self.port);
            let call = Call {
                destination: Destination::Worker(address),
                method: "POST",
                path: "/commands".into(),
                body: b"{}".to_vec(),
                timeout_ms: 60_000,
            };
            out.push(Effect::Call(CallId(self.answered + n), call));
        }
    }
}

impl Handler for Caller {
    fn request(&mut self, _: Now, _: ConnectionId, _: Listener, _: Request, _: &mut Vec<Effect>) {}

    fn call_completed(
        &mut self,
        _: Now,
        _: CallId,
        call_completed: CallResult,
        out: &mut Vec<Effect>,
    ) {
        assert!(matches!(call_completed, Ok((200, _))), "{call_completed:?}");
        self.answered += 1;
        if self.answered == WORKERS * ROUNDS {
            let _ = self.done.send(self.answered);
        } else if self.answered.is_multiple_of(WORKERS) {
            self.ask_all(out);
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Effect>) -> u64 {
        // What is older than the process has a time of its own, too.
        assert!(now.ms > 24 * 3600 * 1000, "{now:?}");
        if !std::mem::replace(&mut self.asked, true) {
            self.ask_all(out);
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

/// Answers every request of a connection until the other side closes it.
fn serve(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        if stream.write_all(answer).is_err() {
            break;
        }
    }
}

/// One connection for each of many workers would once have taken all that a controller
/// may open, and left none for the key-value store.
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
    // A quarter of 128 for calls, less 20 for state service and cloud and two
    // for the one peer: ten for workers.
    let bounds = ResourceBounds {
        max_connections: 128,
        ram_mb: 40.0,
    };
    let reactor = Reactor::new(endpoints(), bounds, 1).expect("listens");
    assert_eq!(reactor.max_worker_connections(), 10);
    let (done, answered) = channel();
    std::thread::spawn(move || {
        let mut caller = Caller {
            port,
            answered: 0,
            asked: false,
            done,
        };
        reactor.run(&mut caller)
    });
    let answered = answered.recv().expect("all calls are answered");
    assert_eq!(answered, WORKERS * ROUNDS);
    // Ten at most are kept from round to round, all others opened anew; kept
    // without a bound it would be one for each worker, ever.
    let opened = opened.load(Ordering::SeqCst) as u64;
    let least = WORKERS + (ROUNDS - 1) * (WORKERS - 10);
    assert!((least..=answered).contains(&opened), "opened: {opened}");
}

/// Replies to every request.
struct Obliging;

impl Handler for Obliging {
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

/// Reads the head of a response.
fn status_of(stream: &mut TcpStream) -> String {
    let mut head = [0; 12];
    match stream.read_exact(&mut head) {
        Ok(()) => String::from_utf8_lossy(&head).into_owned(),
        Err(_) => String::new(),
    }
}

/// All sockets busy with the largest allowed requests would once have taken more memory
/// than a controller of 27 MB has. Those that don't fit are rejected at once, and small
/// ones are served meanwhile.
#[test]
fn large_unfinished_requests_are_refused_when_memory_is_short() {
    // Two megabytes: 250 kB of requests, at an even part of 5.2 kB each.
    let bounds = ResourceBounds {
        max_connections: 64,
        ram_mb: 2.0,
    };
    let reactor = Reactor::new(endpoints(), bounds, 1).expect("listens");
    let address = reactor.client_address().expect("bound");
    std::thread::spawn(move || reactor.run(&mut Obliging));
    let head = b"POST /x HTTP/1.1\r\nContent-Length: 60000\r\n\r\n";
    let mut held = Vec::new();
    let mut refused = 0;
    for _ in 0..12 {
        let mut stream = TcpStream::connect(address).expect("taken");
        stream.write_all(head).expect("sent");
        stream.write_all(&[b' '; 50_000]).expect("sent");
        // A small request on another connection is answered after these bytes
        // have been read, and whatever they take.
        let mut small = TcpStream::connect(address).expect("taken");
        small
            .write_all(b"GET /ready HTTP/1.1\r\n\r\n")
            .expect("sent");
        assert_eq!(status_of(&mut small), "HTTP/1.1 200");
        held.push(stream);
    }
    for mut stream in held {
        // Whoever is held still can finish; the others have their answer.
        let finished = stream.write_all(&[b' '; 10_000]).is_ok();
        match status_of(&mut stream).as_str() {
            "HTTP/1.1 200" => assert!(finished),
            _ => refused += 1,
        }
    }
    assert!((7..=9).contains(&refused), "refused: {refused}");
}
