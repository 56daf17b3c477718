//! Labels of recorded messages: the purpose of a message and the state of its subject. The explorer
//! treats two messages with equal labels as equivalent.

use super::interception::MessageKind;
use super::*;
use controller::records::Value;
use protocol::state::Mutation;
use std::fmt::{Debug, Write};

/// Returns the kind of a message. None if the event is not a message.
pub(super) fn kind_of(event: &Event) -> Option<MessageKind> {
    Some(match event {
        Event::ControllerTick { .. } => MessageKind::Timer,
        Event::StoreRequestArrives(_, request) | Event::UnansweredWriteArrives(_, request) => {
            let reads = matches!(
                request,
                StoreRequest::Get(_) | StoreRequest::List { .. } | StoreRequest::Watch { .. }
            );
            MessageKind::StoreRequest { writes: !reads }
        }
        Event::CloudRequestArrives(..) => MessageKind::CloudRequest,
        Event::DirectCommandsArrive { .. } => MessageKind::DirectCommands,
        Event::ForwardRequestArrives { .. } => MessageKind::ForwardRequest,
        Event::ReplyArrives { input, .. } => match input {
            Input::Store(..) => MessageKind::StoreReply,
            Input::Cloud(..) => MessageKind::CloudReply,
            Input::Worker(..) => MessageKind::DirectReply,
            _ => MessageKind::ForwardReply,
        },
        Event::HeartbeatArrives { .. } => MessageKind::Heartbeat,
        Event::HeartbeatResponseArrives { .. } => MessageKind::HeartbeatResponse,
        Event::UserRequestArrives { .. } => MessageKind::UserRequest,
        Event::UserResponseArrives { .. } => MessageKind::UserResponse,
        _ => return None,
    })
}

/// Returns the label of a message.
pub(super) fn label_of(sim: &Simulation, event: &Event) -> String {
    let role = |node: usize| if sim.token(node).is_some() { "leader" } else { "another" };
    match event {
        Event::ControllerTick { node, .. } => format!("timer of {}", role(*node)),
        Event::StoreRequestArrives(call, request) | Event::UnansweredWriteArrives(call, request) => {
            format!("{}: {}", role(call.node), store_label(request))
        }
        Event::CloudRequestArrives(_, request) => format!("cloud {}", variant_name(request)),
        Event::DirectCommandsArrive { body, .. } => format!("direct {}", command_kinds(&body.commands)),
        Event::ForwardRequestArrives { to, request, .. } => {
            let in_full = request.entries.iter().any(|entry| entry.content.is_some());
            format!("relay to {}, entries in full: {in_full}", role(*to))
        }
        Event::ReplyArrives { input, .. } => reply_label(input),
        Event::HeartbeatArrives { node, body, .. } => {
            format!("report to {}: {}", role(*node), heartbeat_label(body))
        }
        Event::HeartbeatResponseArrives { node, response, .. } => {
            let accepted = protocol::decode::<HeartbeatResponse>(&response.body);
            let commands = accepted.map(|accepted| command_kinds(&accepted.commands));
            format!("answer of {} {} {}", role(*node), response.status, commands.unwrap_or_default())
        }
        Event::UserRequestArrives { job, request, .. } => {
            let reported = sim.history.last_status.get(job).map_or("nothing".into(), variant_name);
            format!("user {}, told {reported}", variant_name(request))
        }
        Event::UserResponseArrives { response, .. } => {
            let view = protocol::decode::<JobView>(&response.body);
            let status = view.map(|view| variant_name(&view.status));
            format!("to user {} {}", response.status, status.unwrap_or_default())
        }
        _ => String::new(),
    }
}

/// Returns the name of a value's variant: its `Debug` form up to the first character that is not
/// alphanumeric.
fn variant_name<T: Debug>(value: &T) -> String {
    struct FirstWord(String);
    impl Write for FirstWord {
        fn write_str(&mut self, text: &str) -> std::fmt::Result {
            let end = text.find(|c: char| !c.is_alphanumeric());
            self.0.push_str(&text[..end.unwrap_or(text.len())]);
            // The error stops the formatting, since the rest may be long.
            end.map_or(Ok(()), |_| Err(std::fmt::Error))
        }
    }
    let mut word = FirstWord(String::new());
    let _ = word.write_fmt(format_args!("{value:?}"));
    word.0
}

/// Returns the distinct words, sorted and joined by commas.
fn distinct(mut words: Vec<String>) -> String {
    words.sort();
    words.dedup();
    words.join(",")
}

fn command_kinds(commands: &[Command]) -> String {
    distinct(commands.iter().map(|command| variant_name(&command.kind)).collect())
}

fn heartbeat_label(body: &[u8]) -> String {
    let Ok(heartbeat) = protocol::decode::<Heartbeat>(body) else { return String::new() };
    let state = |task: &TaskStatus| match task.exit_cause {
        Some(cause) => format!("{:?} {cause:?}", task.state),
        None => variant_name(&task.state),
    };
    let epoch = if heartbeat.epoch > 1 { "later session " } else { "" };
    format!("{epoch}{}", distinct(heartbeat.tasks.iter().map(state).collect()))
}

/// Returns a key without the id in it.
fn key_prefix(key: &str) -> &str {
    match key.split_once('/') {
        Some(("a", rest)) if !rest.starts_with("n-") => key,
        Some((first, _)) => first,
        None => key,
    }
}

fn store_label(request: &StoreRequest) -> String {
    match request {
        StoreRequest::Get(key) => format!("get {}", key_prefix(key)),
        StoreRequest::List { prefix, .. } => format!("list {prefix}"),
        StoreRequest::Watch { prefix, .. } => format!("watch {prefix}"),
        StoreRequest::Commit(transaction) => {
            format!("commit {}", distinct(transaction.mutations.iter().map(mutation_label).collect()))
        }
        other => variant_name(other),
    }
}

fn mutation_label(mutation: &Mutation<Value>) -> String {
    match mutation {
        Mutation::Delete { key } => format!("{} gone", key_prefix(key)),
        Mutation::Put { key, value: Value::Job(job), .. } => {
            let placed = if job.first_page.placements.is_empty() { "" } else { " placed" };
            let done = if job.first_page.done.chars().any(|c| c != '0') { " some done" } else { "" };
            format!("{} {:?}{placed}{done}", key_prefix(key), job.status)
        }
        Mutation::Put { key, value: Value::Terminal(terminal), .. } => {
            format!("{} {:?}", key_prefix(key), terminal.status)
        }
        Mutation::Put { key, .. } => key_prefix(key).to_string(),
    }
}

fn reply_label(input: &Input) -> String {
    match input {
        Input::Store(_, StoreReply::Events(events)) => format!("events: {}", !events.events.is_empty()),
        Input::Store(_, reply) => variant_name(reply),
        Input::Cloud(_, reply) => variant_name(reply),
        Input::Worker(_, WorkerReply::Heartbeat { executed, .. }) => format!("executed: {executed}"),
        Input::ForwardReply(_, Some(reply)) => {
            let orders = reply.orders.iter().flat_map(|orders| &orders.orders);
            let operations = orders.map(|order| variant_name(&order.op())).collect();
            format!("ready: {}, orders {}", reply.ready, distinct(operations))
        }
        other => variant_name(other),
    }
}
