/**
 * A stand-in for an instance. It speaks what the pages say: heartbeats to the `control` address of its machine, health
 * checks, `X-Target-Instance`, and answers with a seal. What it does besides is set by the case.
 */
import http from "node:http";
import type { RunRecord } from "./record.ts";

export interface InstanceOptions {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    readonly slots: number;
    readonly ip: string;
    readonly port: number;
    readonly controlPort: number;
    readonly record: RunRecord;
}

const HEARTBEAT_MS = 1500;
/** An acknowledgement counts if it arrives within this time. */
const ACK_TIMEOUT_MS = 1000;
const DEFAULT_WORK_MS = 60;

export interface RanRequest {
    readonly id: string;
    readonly path: string;
    readonly caller: string | undefined;
    readonly at: number;
}

export class Instance {
    readonly ran: RanRequest[] = [];
    state: "ready" | "draining" = "ready";
    /** Time from the end of a request to its answer. */
    workMs: (path: string) => number = () => DEFAULT_WORK_MS;
    /** Requests at which the instance works now. */
    working = 0;
    private sequence = 0;
    private readonly bornAt = Date.now();
    private heartbeatTimer: NodeJS.Timeout | undefined;
    private readonly server = http.createServer((req, res) => this.receive(req, res));

    constructor(private readonly options: InstanceOptions) {}

    get id(): string {
        return this.options.id;
    }

    async start(): Promise<void> {
        const { ip, port } = this.options;
        this.server.keepAliveTimeout = 10_000;
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, ip, resolve);
        });
        void this.heartbeat();
        this.heartbeatTimer = setInterval(() => void this.heartbeat(), HEARTBEAT_MS);
    }

    stop(): void {
        clearInterval(this.heartbeatTimer);
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Resolves to whether the heartbeat was acknowledged. */
    async heartbeat(): Promise<boolean> {
        const { id, service, zone, slots, ip, port } = this.options;
        return await this.control("PUT", `/instances/${id}`, {
            service,
            address: `${ip}:${port}`,
            zone,
            version: "v1",
            slots,
            state: this.state,
            cold_remaining: "0ms",
            sequence: ++this.sequence,
            born: this.bornAt,
        });
    }

    /** Sends DELETE; resolves to whether it was acknowledged. No heartbeat follows. */
    async deregister(): Promise<boolean> {
        clearInterval(this.heartbeatTimer);
        return await this.control("DELETE", `/instances/${this.options.id}`);
    }

    private control(method: string, path: string, body?: unknown): Promise<boolean> {
        const { ip, controlPort } = this.options;
        return new Promise(resolve => {
            const req = http.request({
                host: ip,
                port: controlPort,
                method,
                path,
                agent: false,
                timeout: ACK_TIMEOUT_MS,
                headers: { "Content-Type": "application/json" },
            }, res => {
                res.resume();
                res.on("end", () => resolve(res.statusCode! >= 200 && res.statusCode! < 300));
                res.on("error", () => resolve(false));
            });
            req.on("timeout", () => req.destroy());
            req.on("error", () => resolve(false));
            req.end(body === undefined ? undefined : JSON.stringify(body));
        });
    }

    private receive(req: http.IncomingMessage, res: http.ServerResponse): void {
        let bodyBytes = 0;
        req.on("data", (chunk: Buffer) => bodyBytes += chunk.length);
        req.on("end", () => void this.handle(req, res, bodyBytes));
    }

    private async handle(
        req: http.IncomingMessage,
        res: http.ServerResponse,
        bodyBytes: number,
    ): Promise<void> {
        const { id: instanceId, record } = this.options;
        if (req.url === "/health") {
            const isHealthy = this.state === "ready";
            return void res.writeHead(isHealthy ? 200 : 503, { "X-Instance-Id": instanceId }).end();
        }
        const id = req.headers["x-request-id"];
        if (typeof id !== "string") return void res.writeHead(400, { "X-Not-Executed": "1" }).end();
        res.setHeader("X-Request-Id", id);
        const wanted = req.headers["x-target-instance"];
        if (wanted !== undefined && wanted !== instanceId) {
            return void res.writeHead(421, { "X-Instance-Id": instanceId }).end();
        }
        const path = req.url!;
        const caller = req.headers["x-caller-service"] as string | undefined;
        this.ran.push({ id, path, caller, at: Date.now() });
        record.line(`${instanceId} runs ${id} ${req.method} ${path} with ${bodyBytes} bytes for ${caller}`);
        this.working++;
        await new Promise(resolve => setTimeout(resolve, this.workMs(path)));
        this.working--;
        const body = `${instanceId} ran ${id}`;
        res.writeHead(200, {
            "X-Response-Seal": `3e1b.07.5a2.${body.length.toString(16)}.0.c9f2a4d1`,
            "Content-Length": body.length,
        }).end(body);
    }
}
