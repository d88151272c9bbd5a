/**
 * Stand-in for an instance: it runs requests, answers health checks and sends heartbeats to the node beside it. It
 * answers 421 to requests for another instance id, and stops being healthy once it leaves.
 */
import http from "node:http";

const HEARTBEAT_MS = 1500;
const ACK_TIMEOUT_MS = 1000;

export class Instance {
    sequence = 0;
    bornAt = Date.now();
    isLeaving = false;
    #timer;
    #sockets = new Set();
    #server = http.createServer((req, res) => this.#receive(req, res)).on("connection", socket => {
        this.#sockets.add(socket);
        socket.on("close", () => this.#sockets.delete(socket));
    });

    /** `onRun` is called when a request begins to run; it may return false to leave the request without an answer. */
    constructor(
        { id, service, host, port, control, zone, slots = 50, workMs = 5, record, onRun = () => true },
    ) {
        Object.assign(this, { id, service, host, port, control, zone, slots, workMs, record, onRun });
    }

    async start() {
        await new Promise(resolve => this.#server.listen(this.port, this.host, resolve));
    }

    /** Heartbeats every 1.5 s from now on. */
    startHeartbeats() {
        this.#timer = setInterval(() => void this.heartbeat().catch(() => undefined), HEARTBEAT_MS);
        return this.heartbeat();
    }

    stopHeartbeats() {
        clearInterval(this.#timer);
    }

    /** Ends without notice: all connections are reset. */
    async crash() {
        this.record({ event: "crash", instance: this.id });
        this.stopHeartbeats();
        for (const socket of this.#sockets) socket.resetAndDestroy();
        await new Promise(resolve => this.#server.close(resolve));
    }

    /** Starts a new incarnation at the same address. */
    async restart(id) {
        Object.assign(this, { id, sequence: 0, bornAt: Date.now(), isLeaving: false });
        this.record({ event: "restart", instance: id });
        await this.start();
        await this.startHeartbeats();
    }

    stop() {
        this.stopHeartbeats();
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** The next heartbeat, which may be sent at once or late. */
    nextHeartbeat(fields = {}) {
        return {
            service: this.service,
            address: `${this.host}:${this.port}`,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: "ready",
            cold_remaining: "0ms",
            sequence: ++this.sequence,
            born: this.bornAt,
            ...fields,
        };
    }

    /** Sends a heartbeat; resolves to the status of the acknowledgement. */
    heartbeat(body = this.nextHeartbeat()) {
        return this.#call("PUT", body);
    }

    /** Deregisters; resolves to the status of the acknowledgement. */
    deregister() {
        this.isLeaving = true;
        return this.#call("DELETE");
    }

    async #call(method, body) {
        const { status } = await fetch(`http://${this.control}/instances/${this.id}`, {
            method,
            headers: { "Content-Type": "application/json", "Connection": "close" },
            body: body === undefined ? undefined : JSON.stringify(body),
            signal: AbortSignal.timeout(ACK_TIMEOUT_MS),
        });
        this.record({
            event: method === "PUT" ? "heartbeat" : "deregister",
            instance: this.id,
            status,
            body,
        });
        return status;
    }

    #receive(req, res) {
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("end", () => void this.#handle(req, res, Buffer.concat(chunks)));
    }

    async #handle(req, res, body) {
        if (req.url === "/health") {
            return void res.writeHead(this.isLeaving ? 503 : 200, { "X-Instance-Id": this.id }).end();
        }
        const id = req.headers["x-request-id"];
        res.setHeader("X-Request-Id", id);
        if (req.headers["x-target-instance"] !== this.id) {
            return void res.writeHead(421, { "X-Instance-Id": this.id }).end();
        }
        this.record({
            event: "run",
            instance: this.id,
            service: this.service,
            id,
            method: req.method,
            path: req.url,
            bytes: body.length,
        });
        if (this.onRun(req, this) === false) return;
        await new Promise(resolve => setTimeout(resolve, this.workMs));
        if (req.socket.destroyed) return;
        const answer = `${this.id} ran ${id}`;
        if (this.isLeaving) res.setHeader("Connection", "close");
        res.writeHead(200, { "X-Response-Seal": `0.0.0.${answer.length.toString(16)}.0.0` }).end(answer);
    }
}
