/** The command line: one program for nodes, operators and stand-ins. */
import "./heapFlags.ts";
import sade from "sade";
import { runDev } from "./commands/dev.ts";
import { runNode } from "./commands/node.ts";
import { runApply, runCheck, runStatus } from "./commands/operator.ts";
import { runStandinLog, runStandinTarget } from "./commands/standins.ts";
import { messageOf } from "./errors.ts";
import { enableLog } from "./log.ts";
import type { Flags } from "./settings.ts";

const VERSION = "0.1.0";
const print = (line: string) => void process.stdout.write(`${line}\n`);

/** Runs a command; a failure is printed, one line for each issue, and sets a non-zero exit status. */
function guarded(run: () => Promise<void> | void): void {
    Promise.resolve().then(run).catch((err: unknown) => {
        process.stderr.write(`${messageOf(err)}\n`);
        process.exitCode = 1;
    });
}

const prog = sade("filbertspool").version(VERSION);
prog.option("--log", "Log namespaces, such as filbertspool:*");

function withLog(flags: Flags): void {
    const namespaces = flags["log"] ?? process.env["FILBERTSPOOL_LOG"];
    if (typeof namespaces === "string") enableLog(namespaces);
}

prog.command("node", "Run the node beside a target")
    .option("--service", "Service of the target")
    .option("--data-centre", "Data centre of this host")
    .option("--entry", "Listener for callers outside, IP:port")
    .option("--peer", "Listener for other nodes (TCP and UDP), IP:port")
    .option("--egress", "Loopback listener for the target, IP:port")
    .option("--log-url", "URL of the log service")
    .option("--join", "Peer addresses of other nodes, for a start while the log is away")
    .option("--peer-key", "Shared key that signs messages between nodes")
    .action((flags: Flags) => {
        withLog(flags);
        guarded(() => runNode(flags, process.env));
    });
prog.command("check <dir>", "Validate a file set")
    .action((dir: string) => guarded(() => runCheck(dir, print)));
prog.command("apply <dir>", "Publish a file set and wait until it is in force")
    .option("--log-url", "URL of the log service")
    .action((dir: string, flags: Flags) => guarded(() => runApply(dir, flags, process.env, print)));
prog.command("status", "Show what a node knows and does")
    .option("--node", "Peer address of a node")
    .action((flags: Flags) => guarded(() => runStatus(flags, process.env, print)));
prog.command("dev", "Run a small deployment in one process and show a call and a change")
    .action((flags: Flags) => {
        withLog(flags);
        guarded(() => runDev(print));
    });
prog.command("standin-log", "Run a stand-in for the log service")
    .option("--listen", "Listener, IP:port")
    .option("--retention-ms", "How long records are kept")
    .action((flags: Flags) => guarded(() => runStandinLog(flags, process.env)));
prog.command("standin-target", "Run a stand-in for a target")
    .option("--service", "Service name")
    .option("--listen", "Listener, IP:port")
    .option("--egress", "Egress listener of the node beside it")
    .option("--slots", "Requests worked on at once")
    .option("--service-ms", "Service time")
    .option("--calls", "Services that it calls, separated by commas")
    .action((flags: Flags) => guarded(() => runStandinTarget(flags, process.env)));
prog.parse(process.argv);
