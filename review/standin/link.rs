//! The links between one machine and the servers: a proxy for each server, which can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::base::*;

/// Links that are up, or cut: then connections are reset, and new ones refused.
#[derive(Default)]
pub struct Links {
    is_cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Links {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Adds a link to a server; returns the address at which the machine finds the server.
    pub fn add(self: &Arc<Self>, server: SocketAddr) -> SocketAddr {
        let (listener, address) = listen();
        let links = self.clone();
        thread::spawn(move || links.run(listener, address, server));
        address
    }

    fn run(&self, listener: TcpListener, address: SocketAddr, server: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.is_cut.load(Ordering::SeqCst) {
                listener = None;
                sleep_ms(2);
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(bound) = &listener else {
                sleep_ms(2);
                continue;
            };
            let _ = bound.set_nonblocking(true);
            match bound.accept() {
                Ok((machine, _)) => self.connect(machine, server),
                Err(_) => sleep_ms(1),
            }
        }
    }

    fn connect(&self, machine: TcpStream, server: SocketAddr) {
        let _ = machine.set_nonblocking(false);
        let Ok(callee) = TcpStream::connect(server) else {
            return;
        };
        let _ = (machine.set_nodelay(true), callee.set_nodelay(true));
        for (from, to) in [(&machine, &callee), (&callee, &machine)] {
            let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            thread::spawn(move || {
                let mut part = [0_u8; 16_384];
                while let Ok(n @ 1..) = from.read(&mut part) {
                    if to.write_all(&part[..n]).is_err() {
                        break;
                    }
                }
                let _ = to.shutdown(Shutdown::Both);
            });
        }
        let mut open = self.open.lock().unwrap();
        open.push(machine);
        open.push(callee);
    }
}
