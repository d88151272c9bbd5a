/** Runs the built binary in separate processes, and polls their HTTP endpoints. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { request } from "undici";
import { freeListenerPort } from "./freePorts.ts";

export { freeListenerPort as freePort };

export const BINARY = new URL("../../dist/filbertspool", import.meta.url).pathname;
const POLL_MS = 50;
/** Bounds a wait, so that a failure fails the test and does not block the test runner. */
const MAX_POLLS = 400;

export async function freeAddress(): Promise<string> {
    return `127.0.0.1:${await freeListenerPort()}`;
}

export interface CommandResult {
    readonly code: number | undefined;
    readonly stdout: string;
    readonly stderr: string;
}

/** Log namespaces that show why a node does not become ready. */
const LOG_NAMESPACES = "filbertspool:started,filbertspool:log-read-failed,filbertspool:record";
const LOG_TAIL_CHARS = 4000;
const logTails = new WeakMap<ChildProcess, string>();

/** Returns the end of a process's log output. */
export function logTailOf(child: ChildProcess): string {
    return logTails.get(child) ?? "";
}

export class ProcessGroup {
    private readonly children: ChildProcess[] = [];

    /** Starts a process that runs until `stop` is called. */
    start(args: readonly string[]): ChildProcess {
        const env = { ...process.env, FILBERTSPOOL_LOG: LOG_NAMESPACES };
        const child = spawn(BINARY, args, { stdio: ["ignore", "ignore", "pipe"], env });
        child.stderr.on("data", chunk => {
            logTails.set(child, (logTailOf(child) + String(chunk)).slice(-LOG_TAIL_CHARS));
        });
        this.children.push(child);
        return child;
    }

    /** Runs a command until it exits. */
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

/** Sends a request repeatedly until the response has the status. */
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
    throw new Error(`${url} did not return status ${status}; last response: ${JSON.stringify(response)}`);
}

/** Sends a request repeatedly until the body of the response satisfies a condition. */
export async function waitForText(url: string, accepts: (text: string) => boolean): Promise<void> {
    let response: TextResponse | undefined;
    for (let polls = 0; polls < MAX_POLLS; polls++) {
        response = await fetchText(url).catch(() => undefined);
        if (response?.status === 200 && accepts(response.text)) return;
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    throw new Error(`${url} did not return the expected text; last response: ${JSON.stringify(response)}`);
}
