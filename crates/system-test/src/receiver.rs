//! The stand-in that takes call-backs: now and then it fails, now and then it is slow.

use crate::history::{Call, Said};
use crate::http::Connection;
use crate::recorder::Recorder;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The states that call-backs and edges name.
pub fn said(body: &[u8]) -> Said {
    let Ok(value) = serde_json::from_slice::<serde_json::Value>(body) else { return Said::Nothing };
    match (value["state"].as_str(), value["seal"].as_str()) {
        (Some("waiting"), _) => Said::Waiting,
        (Some("failed"), _) => Said::Failed,
        (Some("complete"), seal) => Said::Complete { seal: seal.unwrap_or_default().to_string() },
        _ => Said::Nothing,
    }
}

/// While `down` is up it takes nothing.
pub fn listen(at: SocketAddrV4, recorder: Arc<Recorder>, down: &Arc<AtomicBool>) -> Result<(), String> {
    let listener = TcpListener::bind(at).map_err(|e| format!("{at}: {e}"))?;
    let (count, down) = (Arc::new(AtomicU64::new(0)), Arc::clone(down));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (recorder, count, down) = (Arc::clone(&recorder), Arc::clone(&count), Arc::clone(&down));
            std::thread::spawn(move || take(Connection::from_stream(stream), &recorder, &count, &down));
        }
    });
    Ok(())
}

fn take(mut connection: Connection, recorder: &Recorder, count: &AtomicU64, down: &AtomicBool) {
    while let Ok(Some(request)) = connection.read_message(Instant::now() + Duration::from_secs(5)) {
        let number = count.fetch_add(1, Ordering::Relaxed);
        if number % 40 == 39 {
            std::thread::sleep(Duration::from_millis(300));
        }
        let taken = number % 25 != 24 && !down.load(Ordering::Relaxed);
        let value: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let id = value["id"].as_str().unwrap_or_default().to_string();
        recorder.write().calls.push(Call { id, said: said(&request.body), taken });
        let status = if taken { "200 OK" } else { "503 No" };
        if !connection.write(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes()) {
            return;
        }
    }
}
