/** The command line: one program for nodes, operators and stand-ins. */
import "./heapFlags.ts";
import sade from "sade";
import { runApply } from "./commands/apply.ts";
import { runCheck } from "./commands/check.ts";
import { runDev } from "./commands/dev.ts";
import { runDiff } from "./commands/diff.ts";
import { runExplain } from "./commands/explain.ts";
import { runNode } from "./commands/node.ts";
import { runStandinCaller, runStandinLog, runStandinTarget } from "./commands/standins.ts";
import { runStatus } from "./commands/status.ts";
import { messageOf } from "./errors.ts";
import { enableLog } from "./log.ts";
import type { Flags } from "./settings.ts";

const VERSION = "0.1.0";
const print = (line: string) => void process.stdout.write(`${line}\n`);

/** Runs a command; a failure is printed, one line for each issue, and sets a non-zero exit status. */
function runOrFail(body: () => Promise<void> | void): void {
    Promise.resolve().then(body).catch((err: unknown) => fail(messageOf(err)));
}

function fail(message: string): void {
    process.stderr.write(`${message}\n`);
    process.exitCode = 1;
}

const program = sade("filbertspool").version(VERSION);
program.option("--log", "Log namespaces, such as filbertspool:* (FILBERTSPOOL_LOG)");

type Action = (flags: Flags) => Promise<void> | void;
type DirectoryAction = (directory: string, flags: Flags) => Promise<void> | void;
type FilesAction = (id: string, files: readonly string[]) => Promise<void>;

/** Flags of each command. */
const flagsByCommand = new Map<string, readonly string[]>();
const BOOLEAN_FLAGS = ["json", "once", "keys", "help"];

interface CommandOptions {
    readonly name: string;
    readonly description: string;
    readonly flags?: Readonly<Record<string, string>>;
    readonly action: Action | { readonly onDirectory: DirectoryAction; } | {
        readonly onFiles: FilesAction;
    };
}

type CommandBody = (flags: Flags) => Promise<void> | void;

function addCommand({ name, description, flags = {}, action }: CommandOptions): void {
    const positionals = typeof action === "function" ? "" : "onFiles" in action ? " [id]" : " [dir]";
    program.command(`${name}${positionals}`, description);
    for (const [flag, text] of Object.entries(flags)) program.option(`--${flag}`, text);
    flagsByCommand.set(name, [...Object.keys(flags), "log", "help"]);
    const startCommand = (parsed: Flags, body: CommandBody) => {
        enableRequestedLogs(parsed);
        runOrFail(() => body(joinRepeatedFlags(parsed)));
    };
    if (typeof action === "function") {
        program.action((parsed: Flags) => rejectExtraArguments(name, parsed) || startCommand(parsed, action));
        return;
    }
    if ("onFiles" in action) {
        program.action((id: string | undefined, parsed: Flags) => {
            const files = parsed["_"] as readonly string[];
            if (id === undefined || files.length === 0) {
                return fail(
                    `missing ${id === undefined ? "id" : "file"}; usage: filbertspool ${name} <id> <file>...`,
                );
            }
            startCommand(parsed, () => action.onFiles(id, files));
        });
        return;
    }
    program.action((directory: string | undefined, parsed: Flags) => {
        if (directory === undefined) return fail(`missing directory; usage: filbertspool ${name} <dir>`);
        if (!rejectExtraArguments(`${name} <dir>`, parsed)) {
            startCommand(parsed, flags => action.onDirectory(directory, flags));
        }
    });
}

/** Returns whether there was an argument that the command does not take. */
function rejectExtraArguments(usage: string, parsed: Flags): boolean {
    const extra = parsed["_"] as readonly string[];
    if (extra.length > 0) fail(`unexpected argument "${extra[0]}"; usage: filbertspool ${usage}`);
    return extra.length > 0;
}

/** A flag that is given several times is the same as one with all its values, separated by commas. */
function joinRepeatedFlags(flags: Flags): Flags {
    return Object.fromEntries(
        Object.entries(flags).map(([flag, value]) => [flag, Array.isArray(value) ? value.join(",") : value]),
    );
}

function enableRequestedLogs(flags: Flags): void {
    const namespaces = flags["log"] ?? process.env["FILBERTSPOOL_LOG"];
    if (typeof namespaces === "string") enableLog(namespaces);
}

const LOG_URL_FLAG = { "log-url": "URL of the log service" };
const PEER_KEY_FLAG = { "peer-key": "Shared key of the nodes, to read the control state of one" };
const NODE_FLAG = { "node": "Peer addresses of nodes, separated by commas" };

addCommand({
    name: "node",
    description: "Run the node beside a target",
    flags: {
        "service": "Service of the target",
        "data-centre": "Data centre of this host",
        "entry": "Listener for callers outside, IP:port",
        "peer": "Listener for other nodes (TCP and UDP), IP:port",
        "egress": "Loopback listener for the target, IP:port",
        ...LOG_URL_FLAG,
        "join": "Peer addresses of other nodes, for a start while the log is away",
        "peer-key": "Shared key that signs messages between nodes",
    },
    action: flags => runNode(flags, process.env),
});
addCommand({
    name: "check",
    description: "Validate a file set offline",
    action: { onDirectory: directory => runCheck(directory, print) },
});
addCommand({
    name: "diff",
    description: "Show what a file set would change",
    flags: { ...LOG_URL_FLAG, ...NODE_FLAG, ...PEER_KEY_FLAG },
    action: { onDirectory: (directory, flags) => runDiff(directory, flags, process.env, print) },
});
addCommand({
    name: "apply",
    description: "Publish a file set and wait until it is in force",
    flags: {
        ...LOG_URL_FLAG,
        ...NODE_FLAG,
        ...PEER_KEY_FLAG,
        "base": "Number of the version that the change was made from, 0 for none",
        "author": "Name that others see (default: the user)",
        "timeout-s": "How long to wait for the log and the nodes (default 30)",
    },
    action: { onDirectory: (directory, flags) => runApply(directory, flags, process.env, print) },
});
addCommand({
    name: "status",
    description: "Show what the nodes know and do",
    flags: { ...LOG_URL_FLAG, ...NODE_FLAG, ...PEER_KEY_FLAG, "json": "Print JSON" },
    action: flags => runStatus(flags, process.env, print),
});
addCommand({
    name: "explain",
    description: "Show the path of a request of platform nodes from their log files",
    action: { onFiles: (id, files) => runExplain(id, files, print) },
});
addCommand({
    name: "dev",
    description: "Run a small deployment in one process and show calls, a change and a race",
    flags: { "port": "First port (default: free ports)", "once": "End after the demonstration" },
    action: flags => runDev(flags, process.env, print),
});
addCommand({
    name: "standin-log",
    description: "Run a stand-in for the log service",
    flags: {
        "listen": "Listener, IP:port",
        "retention-ms": "How long records are kept",
        "retention-records": "How many records are kept",
    },
    action: flags => runStandinLog(flags, process.env, print),
});
addCommand({
    name: "standin-target",
    description: "Run a stand-in for a target",
    flags: {
        "service": "Service name",
        "listen": "Listener, IP:port",
        "egress": "Egress listener of the node beside it",
        "slots": "Requests worked on at once",
        "service-ms": "Service time",
        "calls": "Services that it calls, separated by commas",
    },
    action: flags => runStandinTarget(flags, process.env),
});
addCommand({
    name: "standin-caller",
    description: "Send load to entry listeners and count the outcomes",
    flags: {
        "entry": "Entry listeners, separated by commas",
        "kind": "Kind of the requests (default: the service's)",
        "path": "Path of the requests (default /)",
        "rate": "Requests a second (default 10)",
        "duration-s": "How long to send (default: until a signal)",
        "resends": "Resends of a refused or unknown request (default 2)",
        "backoff-ms": "Longest wait before the first resend, doubled for each (default 200)",
        "keys": "Send an idempotency key, the same for each resend",
    },
    action: flags => runStandinCaller(flags, process.env, print),
});

function main(argv: string[]): void {
    const [name] = argv.slice(2);
    if (name === undefined || (!name.startsWith("-") && !flagsByCommand.has(name))) {
        const problem = name === undefined ? "missing command" : `unknown command "${name}"`;
        return fail(`${problem}; valid: ${[...flagsByCommand.keys()].join(", ")}`);
    }
    program.parse(argv, {
        boolean: BOOLEAN_FLAGS,
        // Without this, a key or a name of digits would be read as a number and lose digits.
        string: [...flagsByCommand.values()].flat().filter(flag => !BOOLEAN_FLAGS.includes(flag)),
        unknown: flag => {
            const valid = flagsByCommand.get(name)?.map(known => `--${known}`) ?? ["--help", "--version"];
            fail(`unknown flag ${flag}; valid: ${valid.join(", ")}`);
            process.exit();
        },
    });
}

main(process.argv);
