//! The control group and copies of its state.

use crate::{
    args::{Backup, Control},
    client::Client,
    exit::Failure,
    output::{Output, lines, progress},
};
use awc::http::Method;
use serde_json::json;
use std::{
    fs::{File, OpenOptions},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

/// Shows or changes the control group.
pub async fn run(client: &Client, command: Control, out: Output) -> Result<(), Failure> {
    let done = match command {
        Control::Status => client.get("/v1/control").await?,
        Control::Add { vm, address } => {
            let body = json!({ "vm": vm, "address": address });
            let body = body.to_string().into_bytes();
            progress(format!("adding {vm}; it votes once it has caught up"));
            client
                .call(Method::POST, "/v1/control/members", body)
                .await?
        }
        Control::Remove { vm } => {
            let path = format!("/v1/control/members/{vm}");
            client.call(Method::DELETE, &path, Vec::new()).await?
        }
    };
    out.print(&done, lines);
    Ok(())
}

/// Writes a copy of the replicated state to a new file.
pub async fn backup(client: &Client, target: Backup, out: Output) -> Result<(), Failure> {
    let file = target.file;
    if file.exists() {
        let text = format!("{} exists; name a new file", file.display());
        return Err(Failure::usage(text));
    }
    progress("fetching the state");
    let bytes = client.get_bytes("/v1/backup").await?;
    let written = write_synced(&file, &bytes);
    written.map_err(|e| Failure::failed(format!("{}: {e}", file.display())))?;
    let document = json!({ "file": file, "bytes": bytes.len() });
    out.print(&document, lines);
    Ok(())
}

/// Writes a file that is either whole and synced, or not there.
fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".part");
    let part = path.with_file_name(name);
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(&part)?;
    let written = file.write_all(bytes).and_then(|()| file.sync_all());
    if let Err(e) = written {
        drop(std::fs::remove_file(&part));
        return Err(e);
    }
    std::fs::rename(&part, path)?;
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    let folder = folder.map_or_else(|| PathBuf::from("."), Path::to_owned);
    File::open(folder)?.sync_all()
}
