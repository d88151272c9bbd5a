/** Starts programs of the built binary as separate processes on free loopback ports, and ends them by id. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { request } from "undici";
import { freeListenerPort } from "./freePorts.ts";

export { freeListenerPort as freePort };

export const BINARY = new URL("../../dist/filbertspool", import.meta.url).pathname;
const POLL_MS = 50;
/** Bounds a wait so that a broken path fails the test and does not hang the runner. */
const MAX_POLLS = 400;

export async function freeAddress(): Promise<string> {
    return `127.0.0.1:${await freeListenerPort()}`;
}

export interface CommandResult {
    readonly code: number | undefined;
    readonly stdout: string;
    readonly stderr: string;
}

/** What nodes log here: enough to tell why one does not become ready. */
const LOG_NAMESPACES = "filbertspool:started,filbertspool:log-read-failed,filbertspool:record";
const LOG_TAIL_CHARS = 4000;
const logTails = new WeakMap<ChildProcess, string>();

/** The end of what a process has logged. */
export function logTailOf(child: ChildProcess): string {
    return logTails.get(child) ?? "";
}

export class ProcessGroup {
    private readonly children: ChildProcess[] = [];

    /** Starts a process that runs until `stop`. */
    start(args: readonly string[]): ChildProcess {
        const env = { ...process.env, FILBERTSPOOL_LOG: LOG_NAMESPACES };
        const child = spawn(BINARY, args, { stdio: ["ignore", "ignore", "pipe"], env });
        child.stderr.on("data", chunk => {
            logTails.set(child, (logTailOf(child) + String(chunk)).slice(-LOG_TAIL_CHARS));
        });
        this.children.push(child);
        return child;
    }

    /** Runs a command to its end. */
    run(args: readonly string[]): Promise<CommandResult> {
        return new Promise((resolve, reject) => {
            const child = spawn(BINARY, args, { stdio: ["ignore", "pipe", "pipe"] });
            let stdout = "";
            let stderr = "";
            child.stdout.on("data", chunk => stdout += String(chunk));
            child.stderr.on("data", chunk => stderr += String(chunk));
            child.once("error", reject);
            child.once("close", code => resolve({ code: code ?? undefined, stdout, stderr }));
        });
    }

    async stop(): Promise<void> {
        await Promise.all(this.children.map(child =>
            new Promise<void>(resolve => {
                if (child.exitCode !== null || child.signalCode !== null) return resolve();
                child.once("close", () => resolve());
                child.kill("SIGKILL");
            })
        ));
    }
}

export interface TextResponse {
    readonly status: number;
    readonly text: string;
}

export async function fetchText(
    url: string,
    opts: Parameters<typeof request>[1] = {},
): Promise<TextResponse> {
    const res = await request(url, opts);
    return { status: res.statusCode, text: await res.body.text() };
}

/** Repeats a query until it answers with the status. */
export async function waitForStatus(
    url: string,
    status: number,
    opts: Parameters<typeof request>[1] = {},
): Promise<TextResponse> {
    let response: TextResponse | undefined;
    for (let polls = 0; polls < MAX_POLLS; polls++) {
        response = await fetchText(url, opts).catch(() => undefined);
        if (response?.status === status) return response;
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    throw new Error(`${url} did not answer ${status}; last answer: ${JSON.stringify(response)}`);
}

/** Repeats a query until the text of its answer satisfies a condition. */
export async function waitForText(url: string, accepts: (text: string) => boolean): Promise<void> {
    let response: TextResponse | undefined;
    for (let polls = 0; polls < MAX_POLLS; polls++) {
        response = await fetchText(url).catch(() => undefined);
        if (response?.status === 200 && accepts(response.text)) return;
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    throw new Error(`${url} did not answer as expected; last answer: ${JSON.stringify(response)}`);
}
