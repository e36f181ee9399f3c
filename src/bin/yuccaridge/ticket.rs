//! The `ticket` commands.

use std::path::Path;

use serde_json::json;
use yuccaridge::api::TicketView;
use yuccaridge::ticket::Ticket;

use crate::cli::TicketCommand;
use crate::exit::{Exit, Failure};
use crate::{print, requests};

/// Runs a `ticket` command.
pub fn run(command: &TicketCommand, is_json: bool) -> Result<Exit, Failure> {
    match command {
        TicketCommand::Apply { number, file, server } => {
            let body = requests::read_input(file)?;
            let view = requests::client(server).put_ticket(*number, &body)?;
            show(&view, is_json);
        }
        TicketCommand::Show { number, server } => {
            let view = requests::client(server).ticket(*number)?;
            show(&view, is_json);
        }
        TicketCommand::Validate { file } => validate(file, is_json)?,
    }
    Ok(Exit::Success)
}

fn show(view: &TicketView, is_json: bool) {
    if is_json {
        print::json(view);
    } else {
        print::ticket(view);
    }
}

fn validate(file: &Path, is_json: bool) -> Result<(), Failure> {
    let body = requests::read_input(file)?;
    let ticket = match Ticket::parse(&body) {
        Ok(ticket) => ticket,
        Err(refusal) => return Err(Failure::Ticket(refusal.to_string())),
    };
    if ticket.is_empty() {
        return Err(Failure::Ticket(
            "The ticket contains no objects; add at least one below `objects`.".to_owned(),
        ));
    }
    if is_json {
        print::json(&json!({ "valid": true, "objects": ticket.len() }));
    } else {
        outln!(
            "The syntax of the ticket is valid; it sets or removes {} objects. Its guarantees are checked against the \
             endpoints when it is applied.",
            ticket.len()
        );
    }
    Ok(())
}
