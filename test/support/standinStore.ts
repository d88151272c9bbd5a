/** A stand-in for the platform's store: keyed topics with one partition, long polls, and simulated faults. */
import http from "node:http";
import type { AddressInfo, Socket } from "node:net";

interface StoredRecord {
    readonly key: string;
    readonly value: Buffer;
}

/** `silent` leaves requests without a response; `busy` responds to all requests with status 503. */
type Fault = "none" | "silent" | "busy";

export class StandinStore {
    fault: Fault = "none";
    requestCount = 0;
    /** Loopback addresses at which requests are answered with status 503; each node may use an address of its own. */
    refusedAddresses: ReadonlySet<string> = new Set();
    /** Value of `Store-Era` in all responses; `undefined` to send none, as earlier versions of the store do. */
    era: number | undefined = 1;
    /** Maximum number of records in a page of `/log-newest`. */
    newestPageSize = Infinity;
    /** Called after each page of `/log-newest` that is not the last one. */
    onNewestPage: () => void = () => undefined;
    /** Called after a write has been executed and before it is acknowledged, in the era in which it arrived. */
    onAppend: () => void = () => undefined;
    private readonly topics = new Map<string, StoredRecord[]>();
    /** Offset of the first retained record, by topic. */
    private readonly firstOffsets = new Map<string, number>();
    /** Callbacks of the waiting reads, each with its topic, which it checks for new records again. */
    private readonly longPolls = new Map<() => void, string>();
    private readonly sockets = new Set<Socket>();
    private readonly server = http.createServer((req, res) => this.handle(req, res)).on(
        "connection",
        socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        },
    );

    async start(): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(0, "0.0.0.0", resolve));
        return (this.server.address() as AddressInfo).port;
    }

    stop(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Appends a configuration as the operator would. */
    putConfig(config: unknown): void {
        this.append("keyed.op", configRecord(config));
    }

    append(topic: string, record: StoredRecord): void {
        this.recordsOf(topic).push(record);
        for (const [recheck, waitingTopic] of [...this.longPolls]) if (waitingTopic === topic) recheck();
    }

    /** Ends all waiting reads as if their wait was over. */
    endLongPolls(): void {
        for (const recheck of [...this.longPolls.keys()]) recheck();
    }

    /**
     * Makes the open connections silent for good, without an end: in both directions, or only the responses, so that
     * requests are still executed. New connections work. `address`: only those to this loopback address.
     */
    silenceConnections(direction: "both" | "responses" = "both", address?: string): void {
        for (const socket of this.sockets) {
            if (address !== undefined && socket.localAddress !== address) continue;
            socket.write = () => true;
            if (direction === "both") socket.pause();
        }
    }

    /** Makes the records of a topic unreadable by offset; `/log-newest` still returns the newest one of each key. */
    compact(topic: string): void {
        this.firstOffsets.set(topic, this.recordsOf(topic).length);
    }

    /**
     * Goes back to a copy in which the last `lostCount` records of a topic are missing. Their offsets are assigned again.
     * Waiting reads go on waiting, also if other records are `appended` at once.
     */
    rollBack(topic: string, lostCount: number, ...appended: readonly StoredRecord[]): void {
        const records = this.recordsOf(topic);
        records.length = Math.max(0, records.length - lostCount);
        records.push(...appended);
        if (this.era !== undefined) this.era++;
    }

    /** Number of records of a topic, those of removed keys included. */
    lengthOf(topic: string): number {
        return this.recordsOf(topic).length;
    }

    /** Newest value of each key of a topic, without removed keys. */
    newest(topic: string): ReadonlyMap<string, Buffer> {
        const newest = new Map<string, Buffer>();
        for (const { key, value } of this.recordsOf(topic)) {
            if (value.length === 0) newest.delete(key);
            else newest.set(key, value);
        }
        return newest;
    }

    private recordsOf(topic: string): StoredRecord[] {
        let records = this.topics.get(topic);
        if (records === undefined) this.topics.set(topic, records = []);
        return records;
    }

    private handle(req: http.IncomingMessage, res: http.ServerResponse): void {
        this.requestCount++;
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => {
            if (this.fault === "silent") return;
            this.setEraHeader(res);
            if (this.fault === "busy" || this.refusedAddresses.has(req.socket.localAddress ?? "")) {
                return void res.writeHead(503).end();
            }
            const url = new URL(req.url!, "http://store");
            this.respond(url, Buffer.concat(chunks), res);
        });
    }

    private setEraHeader(res: http.ServerResponse): void {
        if (this.era !== undefined) res.setHeader("Store-Era", `${this.era}`);
    }

    private respond(url: URL, body: Buffer, res: http.ServerResponse): void {
        const topic = url.searchParams.get("topic")!;
        switch (url.pathname) {
            case "/log-append":
                return this.respondToAppend(topic, url.searchParams.get("at"), body, res);
            case "/log-newest":
                return this.respondToNewest(topic, url.searchParams.get("after"), res);
            case "/log-read":
                return this.respondToRead(topic, url.searchParams, res);
            default:
                res.writeHead(404).end();
        }
    }

    private respondToAppend(topic: string, at: string | null, body: Buffer, res: http.ServerResponse): void {
        const end = this.recordsOf(topic).length;
        if (at !== null && Number(at) !== end) return void res.writeHead(412).end(JSON.stringify({ end }));
        const record = body.subarray(4);
        const keyBytes = record[0]!;
        this.append(topic, {
            key: record.toString("utf8", 1, 1 + keyBytes),
            value: Buffer.from(record.subarray(1 + keyBytes)),
        });
        this.onAppend();
        res.end(JSON.stringify({ offset: end, end: end + 1 }));
    }

    private respondToNewest(topic: string, after: string | null, res: http.ServerResponse): void {
        const all = [...this.newest(topic)].sort(([one], [other]) => one < other ? -1 : 1)
            .filter(([key]) => after === null || key > after);
        const items = all.slice(0, this.newestPageSize).map(([key, value]) => ({
            key,
            value: value.toString("base64"),
            offset: 0,
        }));
        const hasMore = items.length < all.length;
        res.end(JSON.stringify({ items, has_more: hasMore, end: this.recordsOf(topic).length }));
        if (hasMore) this.onNewestPage();
    }

    private respondToRead(topic: string, query: URLSearchParams, res: http.ServerResponse): void {
        const from = Number(query.get("from"));
        const first = this.firstOffsets.get(topic) ?? 0;
        const end = this.recordsOf(topic).length;
        if (from < first || from > end) return void res.writeHead(410).end(JSON.stringify({ first }));
        const records = this.recordsOf(topic).slice(from);
        if (records.length > 0) return void res.end(encodeRead(this.recordsOf(topic).length, first, records));
        const recheck = () => {
            clearTimeout(timer);
            this.longPolls.delete(recheck);
            if (this.fault === "none") {
                this.setEraHeader(res);
                this.respondToRead(topic, withoutWait(query), res);
            }
        };
        const waitMs = Number(query.get("wait_ms") ?? 0);
        if (waitMs === 0) return void res.end(encodeRead(from, first, []));
        const timer = setTimeout(recheck, waitMs);
        this.longPolls.set(recheck, topic);
        res.on("close", () => {
            clearTimeout(timer);
            this.longPolls.delete(recheck);
        });
    }
}

/** A configuration as the operator would append it. */
export function configRecord(config: unknown): StoredRecord {
    return { key: "config", value: Buffer.from(JSON.stringify(config)) };
}

function withoutWait(query: URLSearchParams): URLSearchParams {
    const copy = new URLSearchParams(query);
    copy.set("wait_ms", "0");
    return copy;
}

function encodeRead(end: number, first: number, records: readonly StoredRecord[]): Buffer {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(end), 0);
    head.writeBigUInt64BE(BigInt(first), 8);
    return Buffer.concat([
        head,
        ...records.map(({ key, value }) => {
            const prefix = Buffer.alloc(5);
            prefix.writeUInt32BE(1 + key.length + value.length, 0);
            prefix[4] = key.length;
            return Buffer.concat([prefix, Buffer.from(key), value]);
        }),
    ]);
}
