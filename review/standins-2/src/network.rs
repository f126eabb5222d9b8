//! The network between the machines: a proxy in front of every port, which knows a machine by the address that it
//! connects from, and a filter at the sockets of servers that drops the packets of a gateway.

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{advertised_ip, process_ip, Class, CONTROL_PORT, FRONT_PORT, LINK_PORT, PEER_PORT};

const POLL: Duration = Duration::from_millis(10);

/// Which pairs of machines are cut off from each other, by the addresses of their processes.
pub struct Network {
    subnet: u8,
    cut: Mutex<BTreeSet<(IpAddr, IpAddr)>>,
}

impl Network {
    pub fn start(subnet: u8, cores: u8, edges: u8) -> Result<Arc<Self>, String> {
        let network = Arc::new(Self {
            subnet,
            cut: Mutex::default(),
        });
        for number in 1..=cores {
            network.serve(Class::Core, number, &[CONTROL_PORT, LINK_PORT])?;
        }
        for number in 1..=edges {
            network.serve(Class::Edge, number, &[FRONT_PORT, LINK_PORT, PEER_PORT])?;
        }
        Ok(network)
    }

    /// Address of the process of a machine.
    pub fn process(&self, class: Class, number: u8) -> IpAddr {
        let ip = process_ip(self.subnet, class, number);
        ip.parse().expect("a loopback address")
    }

    /// Partitions an edge machine from all core machines: no bytes pass between them, in both directions.
    pub fn cut_from_core(&self, edge: u8, cores: u8) {
        let edge = self.process(Class::Edge, edge);
        let mut cut = self.cut.lock().unwrap();
        for core in 1..=cores {
            let core = self.process(Class::Core, core);
            cut.insert((edge, core));
            cut.insert((core, edge));
        }
    }

    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }

    fn is_cut(&self, from: IpAddr, to: IpAddr) -> bool {
        self.cut.lock().unwrap().contains(&(from, to))
    }

    fn serve(self: &Arc<Self>, class: Class, number: u8, ports: &[u16]) -> Result<(), String> {
        for port in ports {
            let address = format!("{}:{port}", advertised_ip(self.subnet, class, number));
            let listener = TcpListener::bind(&address).map_err(|error| format!("{address}: {error}"))?;
            let (network, port) = (Arc::clone(self), *port);
            let machine = self.process(class, number);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let network = Arc::clone(&network);
                    thread::spawn(move || network.forward(stream, machine, port));
                }
            });
        }
        Ok(())
    }

    fn forward(&self, stream: TcpStream, machine: IpAddr, port: u16) {
        let Ok(peer) = stream.peer_addr() else { return };
        let peer = peer.ip();
        while self.is_cut(peer, machine) {
            thread::sleep(POLL);
        }
        let Ok(other) = TcpStream::connect((machine, port)) else {
            return;
        };
        let (Ok(from), Ok(to)) = (stream.try_clone(), other.try_clone()) else {
            return;
        };
        thread::scope(|scope| {
            scope.spawn(|| self.copy(from, to, peer, machine));
            self.copy(other, stream, machine, peer);
        });
    }

    /// Copies bytes in one direction until its end. While it is cut they wait.
    fn copy(&self, mut source: TcpStream, mut sink: TcpStream, from: IpAddr, to: IpAddr) {
        let _ = source.set_read_timeout(Some(Duration::from_millis(50)));
        let _ = sink.set_nodelay(true);
        let mut buffer = vec![0; 64 << 10];
        loop {
            if self.is_cut(from, to) {
                thread::sleep(POLL);
                continue;
            }
            match source.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => {
                    while self.is_cut(from, to) {
                        thread::sleep(POLL);
                    }
                    if sink.write_all(&buffer[..count]).is_err() {
                        let _ = source.shutdown(Shutdown::Both);
                        return;
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => {
                    let _ = sink.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
        let _ = sink.shutdown(Shutdown::Write);
    }
}

/// One instruction of a classic BPF program, and the program, as the kernel takes them.
#[repr(C)]
struct Instruction {
    code: u16,
    jump_true: u8,
    jump_false: u8,
    value: u32,
}

#[repr(C)]
struct Program {
    length: u16,
    instructions: *const Instruction,
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Program, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_ATTACH_FILTER: i32 = 26;
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Offset of the source address, relative to the network header.
const SOURCE_ADDRESS: u32 = 0xFFF0_0000 + 12;

/// Drops the packets of an address at a listening socket, so that connections from there hang.
pub fn drop_connections_from(listener: &TcpListener, address: IpAddr) -> Result<(), String> {
    let IpAddr::V4(address) = address else {
        return Err("no IPv4 address".to_owned());
    };
    let instruction = |code, jump_true, jump_false, value| Instruction {
        code,
        jump_true,
        jump_false,
        value,
    };
    let instructions = [
        instruction(LOAD_WORD, 0, 0, SOURCE_ADDRESS),
        instruction(JUMP_IF_EQUAL, 0, 1, u32::from(address)),
        instruction(RETURN, 0, 0, 0),
        instruction(RETURN, 0, 0, u32::MAX),
    ];
    let program = Program {
        length: instructions.len() as u16,
        instructions: instructions.as_ptr(),
    };
    let length = std::mem::size_of::<Program>() as u32;
    // SAFETY: the program and its instructions live until the call returns, and the kernel copies them.
    let result = unsafe {
        setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_ATTACH_FILTER, &program, length)
    };
    match result {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error().to_string()),
    }
}
