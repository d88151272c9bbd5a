/** Stand-in for the platform's store: keyed topics with one partition, appends, reads by offset and long polls. */
import http from "node:http";

export class Store {
    #topics = new Map();
    #polls = new Set();
    #server = http.createServer((req, res) => this.#receive(req, res));

    async start(host) {
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        return this.#server.address().port;
    }

    stop() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Appends a configuration as the operator does; returns the time of the acknowledgement. */
    putConfig(config) {
        this.#append("keyed.op", "config", Buffer.from(JSON.stringify(config)));
        return performance.now();
    }

    /** Newest value of a key, or `undefined`. */
    newest(topic, key) {
        return this.#records(topic).findLast(record => record.key === key)?.value;
    }

    #records(topic) {
        if (!this.#topics.has(topic)) this.#topics.set(topic, []);
        return this.#topics.get(topic);
    }

    #append(topic, key, value) {
        this.#records(topic).push({ key, value });
        for (const wake of [...this.#polls]) wake();
    }

    #receive(req, res) {
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("end", () => {
            const { pathname, searchParams } = new URL(req.url, "http://store");
            const topic = searchParams.get("topic");
            if (pathname === "/log-append") this.#onAppend(topic, Buffer.concat(chunks), res);
            else if (pathname === "/log-newest") this.#onNewest(topic, res);
            else if (pathname === "/log-read") this.#onRead(topic, searchParams, res);
            else res.writeHead(404).end();
        });
    }

    #onAppend(topic, body, res) {
        const offset = this.#records(topic).length;
        for (let at = 0; at < body.length;) {
            const length = body.readUInt32BE(at);
            const record = body.subarray(at + 4, at + 4 + length);
            const keyEnd = 1 + record[0];
            this.#append(topic, record.toString("utf8", 1, keyEnd), Buffer.from(record.subarray(keyEnd)));
            at += 4 + length;
        }
        sendJson(res, { offset, end: this.#records(topic).length });
    }

    #onNewest(topic, res) {
        const newest = new Map();
        this.#records(topic).forEach(({ key, value }, offset) => newest.set(key, { key, value, offset }));
        const items = [...newest.values()].filter(({ value }) => value.length > 0)
            .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
        sendJson(res, { items, has_more: false, end: this.#records(topic).length });
    }

    #onRead(topic, query, res) {
        const from = Number(query.get("from"));
        const respond = () => {
            clearTimeout(timer);
            this.#polls.delete(wake);
            if (!res.destroyed) res.end(encodeRecords(this.#records(topic), from));
        };
        const wake = () => {
            if (this.#records(topic).length > from) respond();
        };
        const timer = setTimeout(respond, Number(query.get("wait_ms") ?? 0));
        res.on("close", () => {
            clearTimeout(timer);
            this.#polls.delete(wake);
        });
        this.#polls.add(wake);
        wake();
    }
}

function sendJson(res, body) {
    res.setHeader("Content-Type", "application/json");
    res.end(JSON.stringify(body));
}

function encodeRecords(records, from) {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const encoded = records.slice(from).map(({ key, value }) => {
        const keyBytes = Buffer.from(key);
        const prefix = Buffer.alloc(5);
        prefix.writeUInt32BE(1 + keyBytes.length + value.length, 0);
        prefix[4] = keyBytes.length;
        return Buffer.concat([prefix, keyBytes, value]);
    });
    return Buffer.concat([head, ...encoded]);
}
