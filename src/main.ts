/** Command-line entry point: the commands that run a node, operate a deployment and start stand-ins. */
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

/** Runs a command. If it fails, prints each issue on a line of its own and sets a non-zero exit status. */
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

/** Accepted flags by command; a flag or command that is not listed here is rejected. */
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
    // The arguments are optional for the parser, so that a missing one is reported below like all other errors.
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

/** Reports the first argument that the command does not accept; returns whether there was one. */
function rejectExtraArguments(usage: string, parsed: Flags): boolean {
    const extra = parsed["_"] as readonly string[];
    if (extra.length > 0) fail(`unexpected argument "${extra[0]}"; usage: filbertspool ${usage}`);
    return extra.length > 0;
}

/** A repeated flag means the same as a single flag with all values separated by commas. */
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
const PEER_KEY_FLAG = { "peer-key": "Shared key of the nodes, needed to read a node's control state" };
const NODE_FLAG = { "node": "Peer addresses of nodes, separated by commas" };

addCommand({
    name: "node",
    description: "Run the node beside a target",
    flags: {
        "service": "Service of the target",
        "data-centre": "Data centre of this host",
        "entry": "Listener for external callers, IP:port",
        "peer": "Listener for other nodes (TCP and UDP), IP:port",
        "egress": "Loopback listener for the target, IP:port",
        ...LOG_URL_FLAG,
        "join": "Peer addresses of other nodes, to start while the log service is unreachable",
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
        "base": "Number of the version that the change is based on, 0 for none",
        "author": "Author that the version is published under (default: the current user)",
        "timeout-s": "How long to wait for the log service and the nodes, in seconds (default 30)",
    },
    action: { onDirectory: (directory, flags) => runApply(directory, flags, process.env, print) },
});
addCommand({
    name: "status",
    description: "Show the state, configuration and counters of the nodes",
    flags: { ...LOG_URL_FLAG, ...NODE_FLAG, ...PEER_KEY_FLAG, "json": "Print JSON" },
    action: flags => runStatus(flags, process.env, print),
});
addCommand({
    name: "explain",
    description: "Show the path of one request through the platform nodes, from their log files",
    action: { onFiles: (id, files) => runExplain(id, files, print) },
});
addCommand({
    name: "dev",
    description:
        "Run a small deployment in one process and show calls, a configuration change and a conflict",
    flags: { "port": "First port (default: free ports)", "once": "End after the demonstration" },
    action: flags => runDev(flags, process.env, print),
});
addCommand({
    name: "standin-log",
    description: "Run a stand-in for the log service",
    flags: {
        "listen": "Listener, IP:port",
        "retention-ms": "How long records are kept, in milliseconds",
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
        "slots": "Requests that run at the same time (default: no limit)",
        "service-ms": "Service time in milliseconds (default 0)",
        "calls": "Services that the target calls for each request, separated by commas",
    },
    action: flags => runStandinTarget(flags, process.env),
});
addCommand({
    name: "standin-caller",
    description: "Send requests to entry listeners at a fixed rate and count the outcomes",
    flags: {
        "entry": "Entry listeners, separated by commas",
        "kind": "Kind of the requests (default: the default kind of the service)",
        "path": "Path of the requests (default /)",
        "rate": "Requests per second (default 10)",
        "duration-s": "How long to send, in seconds (default: until SIGINT or SIGTERM)",
        "resends": "Retries of a request that does not get status 200 (default 2)",
        "backoff-ms":
            "Upper bound of the wait before the first retry in milliseconds, doubled for each further one (default 200)",
        "keys": "Send an idempotency key, the same one for all attempts of a request",
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
        // Without this list, the parser turns a value of digits into a number, so a long key would lose digits.
        string: [...flagsByCommand.values()].flat().filter(flag => !BOOLEAN_FLAGS.includes(flag)),
        unknown: flag => {
            const valid = flagsByCommand.get(name)?.map(known => `--${known}`) ?? ["--help", "--version"];
            fail(`unknown flag ${flag}; valid: ${valid.join(", ")}`);
            process.exit();
        },
    });
}

main(process.argv);
