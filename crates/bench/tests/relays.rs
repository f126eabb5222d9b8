//! Tests that a relay holds back exactly the traffic that is cut, without closing the connection, and
//! delivers it after the cut is healed.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use grebepin_bench::fleet::relay;
use grebepin_schema::CutTraffic;

/// Time after which bytes on loopback would have arrived. Only the check that no bytes arrive waits so long.
const SILENCE: Duration = Duration::from_millis(100);

/// A server that echoes every byte of each connection.
fn echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut reader = connection.try_clone().expect("a second handle");
                std::io::copy(&mut reader, &mut &connection).ok();
            });
        }
    });
    address
}

#[test]
fn a_cut_of_one_kind_of_traffic_leaves_the_other() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let cuts = relay::start(listener, echo_server());
    let heartbeat = b"POST /grebepin/v1/heartbeat";
    let request = b"POST /saldo-limite/limit/12";
    let table: [(CutTraffic, &[u8], &[u8]); 2] = [
        (CutTraffic::Control, heartbeat, request),
        (CutTraffic::Requests, request, heartbeat),
    ];
    for (traffic, cut, kept) in table {
        cuts.cut(traffic);
        let mut through = TcpStream::connect(address).expect("connected");
        through.write_all(kept).expect("sent");
        let mut answer = vec![0; kept.len()];
        through.read_exact(&mut answer).expect("not cut");
        assert_eq!(answer, kept);
        let mut held = TcpStream::connect(address).expect("connected");
        held.write_all(cut).expect("sent");
        held.set_read_timeout(Some(SILENCE)).expect("a timeout");
        assert!(held.read(&mut answer).is_err(), "{traffic:?} is cut");
        cuts.heal();
        held.set_read_timeout(None).expect("no timeout");
        let mut late = vec![0; cut.len()];
        held.read_exact(&mut late).expect("healed");
        assert_eq!(late, cut);
    }
}
