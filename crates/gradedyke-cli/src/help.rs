//! Help texts of the commands.

const GENERAL_HELP: &str = "\
gradedyke: a shared scheduling service for agent programs

usage: gradedyke COMMAND [OPTIONS]

commands:
  crashes   tell of requests under which backend servers ended
  demo      run everything in one process and show what it does
  evacuate  have a data centre's backend servers get nothing new
  run       run the roles that a settings file names
  serve     run one role on the users' platform
  explain   what the time of programs went to, from the logs
  settings  check settings, or put them in force
  status    tell of an instance and the members it sees
  standin   run a stand-in for what surrounds gradedyke, to try things out
  key       make a key and the hash that settings keep of it

gradedyke COMMAND --help tells more. Logs go to standard error; GRADEDYKE_LOG
chooses them (error, warn, info, debug).

exit codes: 0 ok, 1 failed, 2 wrong usage or settings
";

const DEMO_HELP: &str = "\
usage: gradedyke demo [--stay] [--instances N]

Starts stand-ins for the platform, model engines and plain services, and N
instances (3) with every role, all in this process on loopback ports. Runs
agent programs through them and ends with a line of figures, counted from what
the stand-ins recorded. Exits with 0 only if all figures are right.

  --stay         keep listening afterwards and print curl lines to try
  --instances N  number of instances
";

const CRASHES_HELP: &str = "\
usage: gradedyke crashes ADDRESS... [--clear FINGERPRINT]

Tells of the requests under which backend servers ended, as the entries and
keepers with these peer addresses know them: one line each, those that cost the
most servers first. Log lines name the same fingerprints.

  fingerprint  program-... is a request of one program, content-... the same
               content of any program
  counted      servers that count; from 3 on the request is refused
  ended        servers that ended while they ran it, at most four of a round
  age_s        seconds since the last end, or since its caller last came back
  state        suspect or refused

  --clear FINGERPRINT  let the request be sent again; give the addresses of all
                       keepers
";

const EVACUATE_HELP: &str = "\
usage: gradedyke evacuate DATA_CENTRE --admin ADDRESS --key KEY [--withdraw]

Puts the tree in force again with DATA_CENTRE among those that are evacuated, and
prints the new revision. From then on its backend servers get nothing new; what
they have in progress ends there. --withdraw takes that back.
";

const RUN_HELP: &str = "\
usage: gradedyke run --settings FILE

Runs the roles that FILE names until SIGTERM or SIGINT, which drain: new work
goes elsewhere, streams finish, slots are handed over. A second signal stops at
once. Prints a line with the addresses it listens on, and one with ready=true
once callers may be sent here. See docs/OPERATING.md for the settings.
";

const SERVE_HELP: &str = "\
usage: gradedyke serve entry [--settings FILE]
       gradedyke serve keeper [--settings FILE]

entry   takes callers' requests; keeps nothing
keeper  keeps turns and budgets in its data folder

Without --settings the file is the one that the platform names. SIGTERM drains
within the grace of the settings; SIGHUP, or a change of the file, reads it anew.
Logs go to standard output, metrics to listen.metrics. See docs/OPERATIONS.md.
";

const EXPLAIN_HELP: &str = "\
usage: gradedyke explain [--program ID] [FILE]

Reads the log lines of all instances from FILE or standard input. With --program,
tells what that program's time went to, and each of its requests; without, the
means of all requests by the second in which they ended.

  keepers_ms  the keepers' word before a turn is sent
  first_ms    queue at the engine and reading of the prompt, to the first event
  events_ms   the events after the first
  rest_ms     keeping the turn, and attempts that failed
  calls_ms    plain services
  between_ms  none of the program's requests was in progress
";

const SETTINGS_HELP: &str = "\
usage: gradedyke settings check FILE [--instance | --serve]
       gradedyke settings apply FILE --admin ADDRESS --key KEY [--if-revision N]

check   reads FILE as the operators' tree, with --instance as the settings of
        `run`, or with --serve as those of `serve`, and names every fault with file, line, path and remedy
apply   puts the tree in FILE in force after revision N (by default the one in
        force now) and prints the new revision
";

const STATUS_HELP: &str = "\
usage: gradedyke status --admin ADDRESS --key KEY [--json]

Tells of the instance whose admin listener is at ADDRESS, and for each member
it sees the revision of the settings in force there.
";

const STANDIN_HELP: &str = "\
usage: gradedyke standin platform|engine|service --listen ADDRESS

Runs a small stand-in for the platform, a model engine or a plain service until
it is killed, and prints listening=ADDRESS once it listens. It keeps everything
in memory. Engines and services tell what they ran at /records.
";

const KEY_HELP: &str = "\
usage: gradedyke key [KEY]

Makes a random key, or takes KEY, and prints it with the hash that settings
keep of it.
";

/// Returns the help text of a command, or the general help text if `topic` is no command.
pub fn text(topic: &str) -> &'static str {
    match topic {
        "crashes" => CRASHES_HELP,
        "demo" => DEMO_HELP,
        "evacuate" => EVACUATE_HELP,
        "run" => RUN_HELP,
        "explain" => EXPLAIN_HELP,
        "serve" => SERVE_HELP,
        "settings" => SETTINGS_HELP,
        "status" => STATUS_HELP,
        "standin" => STANDIN_HELP,
        "key" => KEY_HELP,
        _ => GENERAL_HELP,
    }
}
