//! Commands for tickets.

use std::path::Path;

use serde_json::json;
use yuccaridge::api::TicketView;
use yuccaridge::ticket::Ticket;

use crate::cli::TicketCommand;
use crate::exit::{Exit, Failure};
use crate::{print, requests};

/// Runs a command.
pub fn run(command: &TicketCommand, is_json: bool) -> Result<Exit, Failure> {
    match command {
        TicketCommand::Apply { number, file, server } => {
            let body = requests::read(file)?;
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
    let body = requests::read(file)?;
    let ticket = match Ticket::parse(&body) {
        Ok(ticket) => ticket,
        Err(refusal) => return Err(Failure::Ticket(refusal.to_string())),
    };
    if ticket.is_empty() {
        return Err(Failure::Ticket("The ticket touches nothing.".to_owned()));
    }
    if is_json {
        print::json(&json!({ "valid": true, "objects": ticket.len() }));
    } else {
        println!(
            "The form of the ticket is valid; it sets or removes {} objects. Whether its guarantees fit the fleet shows \
             when it is applied.",
            ticket.len()
        );
    }
    Ok(())
}
