//! The control group, and backups of its state.

use crate::{
    args::{Backup, Control},
    client::Client,
    exit::Failure,
    output::{Output, indented_text, progress},
};
use awc::http::Method;
use serde_json::json;
use std::{
    fs::{File, OpenOptions},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

/// Shows or changes the members of the control group.
pub async fn run(client: &Client, command: Control, out: Output) -> Result<(), Failure> {
    let result = match command {
        Control::Status => client.get("/v1/control").await?,
        Control::Add { vm, address } => {
            let body = json!({ "vm": vm, "address": address });
            let body = body.to_string().into_bytes();
            progress(format!(
                "adding {vm}; it becomes a voter once it has caught up"
            ));
            client
                .call(Method::POST, "/v1/control/members", body)
                .await?
        }
        Control::Remove { vm } => {
            let path = format!("/v1/control/members/{vm}");
            client.call(Method::DELETE, &path, Vec::new()).await?
        }
    };
    out.print(&result, indented_text);
    Ok(())
}

/// Writes a backup of the replicated state to a new file.
pub async fn backup(client: &Client, args: Backup, out: Output) -> Result<(), Failure> {
    let file = args.file;
    if file.exists() {
        let text = format!("{} already exists; name a new file", file.display());
        return Err(Failure::usage(text));
    }
    progress("downloading the state");
    let bytes = client.get_bytes("/v1/backup").await?;
    let result = write_synced(&file, &bytes);
    result.map_err(|e| Failure::failed(format!("{}: {e}", file.display())))?;
    let document = json!({ "file": file, "bytes": bytes.len() });
    out.print(&document, indented_text);
    Ok(())
}

/// Writes and syncs a file atomically: it is written under a temporary name and
/// then renamed.
fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(".part");
    let temp_path = path.with_file_name(name);
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(&temp_path)?;
    let result = file.write_all(bytes).and_then(|()| file.sync_all());
    if let Err(e) = result {
        drop(std::fs::remove_file(&temp_path));
        return Err(e);
    }
    std::fs::rename(&temp_path, path)?;
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    let folder = folder.map_or_else(|| PathBuf::from("."), Path::to_owned);
    File::open(folder)?.sync_all()
}
