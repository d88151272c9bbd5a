/**
 * Detects crashes of the local target. A lost connection alone says little: the target may have closed it, or its
 * response was lost on the way. It is a crash if the target then refuses connections, or a new start of it announces
 * itself soon.
 */
import net from "node:net";
import type { ForwardedRequest } from "./types.ts";

export interface CrashDetectorOptions {
    readonly host: string;
    readonly port: number;
    /** Called with the requests that were in progress. */
    readonly onCrash: (requests: readonly ForwardedRequest[]) => void;
}

/** Connections that are lost within this time of the first one belong to the same crash. */
const CRASH_WINDOW_MS = 100;
const CONNECT_TIMEOUT_MS = 400;
/** How long after a lost connection a new start of the target shows that it crashed. */
const RESTART_WINDOW_MS = 3000;
/** A crash of a target with more slots makes only this many requests suspects, the latest ones. */
const MAX_SUSPECTS_PER_CRASH = 512;

export class CrashDetector {
    private lost: ForwardedRequest[] = [];
    private probeTimer: NodeJS.Timeout | undefined;
    private forgetTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: CrashDetectorOptions) {}

    /** Handles a request whose connection was lost before a response. */
    onConnectionLost(req: ForwardedRequest): void {
        if (this.lost.length >= MAX_SUSPECTS_PER_CRASH) this.lost.shift();
        this.lost.push(req);
        this.probeTimer ??= setTimeout(() => this.probe(), CRASH_WINDOW_MS);
    }

    /** Handles a refused connection, or a new start of the target: either shows that the target crashed. */
    onTargetEnded(): void {
        this.confirm();
    }

    close(): void {
        this.forget();
    }

    private probe(): void {
        this.probeTimer = undefined;
        const socket = net.connect({ host: this.options.host, port: this.options.port });
        socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy(new Error("connect timed out")));
        socket.once("connect", () => {
            socket.destroy();
            clearTimeout(this.forgetTimer);
            if (this.lost.length > 0) this.forgetTimer = setTimeout(() => this.forget(), RESTART_WINDOW_MS);
        });
        socket.once("error", () => this.confirm());
    }

    private confirm(): void {
        const requests = this.lost;
        this.forget();
        if (requests.length > 0) this.options.onCrash(requests);
    }

    private forget(): void {
        clearTimeout(this.probeTimer);
        clearTimeout(this.forgetTimer);
        this.probeTimer = undefined;
        this.lost = [];
    }
}
