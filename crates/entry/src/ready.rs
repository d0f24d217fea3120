//! Readiness for the platform's load balancer.

use std::{rc::Rc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::{
    connection::Connection,
    message,
    reply::{Problem, Reply},
    shared::Shared,
};

/// Longest time for which a connection is idle.
const IDLE: Duration = Duration::from_secs(15);
/// Most bytes of a question's head.
const HEAD_BYTES: usize = 8 * 1024;

/// Answers the load balancer until the listener is dropped.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(shared.clone(), stream));
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "a readiness check can't be accepted");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    loop {
        let head = message::take_request(&mut connection.buffer, HEAD_BYTES);
        let request = match head {
            Ok(Some(request)) => request,
            Ok(None) => match timeout(IDLE, connection.read()).await {
                Ok(Ok(true)) => continue,
                _ => return,
            },
            Err(_) => return,
        };
        let reply = answer(&shared, &request.target);
        let closes = !request.keeps_alive;
        let wire = reply.encode(closes, request.method == "HEAD");
        if connection.write(&wire).await.is_err() || closes {
            return;
        }
    }
}

fn answer(shared: &Shared, target: &[u8]) -> Reply {
    let path = target.split(|byte| *byte == b'?').next();
    let problem = match path == Some(shared.dialect.readiness_path.as_bytes()) {
        true if shared.is_ready() => Problem::new(200, "ready"),
        true => Problem::new(503, "not ready"),
        false => Problem::new(404, "no such path"),
    };
    Reply::problem(problem, None)
}
