//! The links between machines: one relay for each ordered pair, which can be cut and healed.
//!
//! Every machine has ports of its own for traffic between nodes, and dials others at these. So who calls whom is told by
//! address and port alone, and `stilerouted` needs to know nothing of it. What a cut holds up comes late, as on a real network;
//! a connection begun under a cut comes to nothing.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(3);

/// Whether the way from one machine to another is cut: one for each direction.
pub type Way = Arc<AtomicBool>;

/// The two directions between who dials and who listens.
#[derive(Clone)]
pub struct Ways {
    pub out: Way,
    pub back: Way,
}

impl Ways {
    /// A handshake needs both directions.
    fn any_cut(&self) -> bool {
        self.out.load(Ordering::Relaxed) || self.back.load(Ordering::Relaxed)
    }
}

/// Stands at `at` for who listens at `to`.
pub fn stand_in(at: SocketAddrV4, to: SocketAddrV4, ways: &Ways, over: &Way) -> Result<(), String> {
    let listener = TcpListener::bind(at).map_err(|e| format!("{at}: {e}"))?;
    let (ways, over) = (ways.clone(), Arc::clone(over));
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            if over.load(Ordering::Relaxed) {
                return;
            }
            let ways = ways.clone();
            std::thread::spawn(move || carry(near, to, &ways));
        }
    });
    Ok(())
}

fn carry(near: TcpStream, to: SocketAddrV4, ways: &Ways) {
    if ways.any_cut() {
        wait(&ways.out);
        wait(&ways.back);
        return;
    }
    let Ok(far) = TcpStream::connect(to) else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
    let back = Arc::clone(&ways.back);
    std::thread::spawn(move || pour(far_too, near_too, &back));
    pour(near, far, &ways.out);
}

fn wait(way: &Way) {
    while way.load(Ordering::Relaxed) {
        std::thread::sleep(LOOK);
    }
}

/// All bytes from one side to the other, and its end.
fn pour(mut from: TcpStream, mut to: TcpStream, way: &Way) {
    let mut some = vec![0; 64 << 10];
    loop {
        let count = from.read(&mut some);
        wait(way);
        match count {
            Ok(count) if count > 0 && to.write_all(&some[..count]).is_ok() => {}
            _ => break,
        }
    }
    // A process that is gone hears nothing more, and one that was left says nothing more: both directions end.
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}
