//! Checks the settings, the ticket and the job that the README shows as examples.

use yuccaridge::config::{Config, Source};
use yuccaridge::job::JobSpec;
use yuccaridge::team::Catalog;
use yuccaridge::ticket::Ticket;

fn code_blocks(language: &str) -> Vec<&'static str> {
    let mut blocks = Vec::new();
    let text = include_str!("../README.md");
    for part in text.split(&format!("```{language}\n")).skip(1) {
        blocks.push(part.split("```").next().expect("a code block ends"));
    }
    blocks
}

/// Guards against README examples that the program rejects.
#[test]
fn examples_are_valid() {
    let settings = code_blocks("jsonc");
    let source = Source::parse("README.md", settings[0]).expect("settings parse");
    Config::resolve(&source, &[]).expect("settings resolve");

    let examples = code_blocks("json");
    let ticket = Ticket::parse(examples[0].as_bytes()).expect("ticket parses");
    ticket.apply(&Catalog::default(), 1).expect("ticket applies");
    let job: JobSpec = serde_json::from_str(examples[1]).expect("job parses");
    job.shape.check().expect("shape is allowed");
}
