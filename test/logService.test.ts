/** The offsets, retention and faults of the stand-in for the log service must follow the published protocol. */
import { expect } from "chai";
import { LogClient } from "../src/logClient.ts";
import type { LogServiceOptions } from "../src/standins/logService.ts";
import { LogService } from "../src/standins/logService.ts";
import { fetchText, freePort } from "./support/processes.ts";

describe("stand-in for the log service", () => {
    const services: LogService[] = [];
    after(() => Promise.all(services.map(service => service.stop())));

    async function startLog(opts: Omit<LogServiceOptions, "address"> = {}): Promise<string> {
        const port = await freePort();
        const service = new LogService({ ...opts, address: { host: "127.0.0.1", port } });
        services.push(service);
        await service.start();
        return `http://127.0.0.1:${port}`;
    }

    const post = (url: string, body: unknown) =>
        fetchText(url, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
        });
    const append = (url: string, record: unknown) => post(`${url}/streams/s/records`, record);
    const read = async (url: string, query: string) => {
        const { status, text } = await fetchText(`${url}/streams/s/records?${query}`);
        return { status, body: JSON.parse(text) as { records: { offset: number; record: unknown; }[]; } };
    };

    it("numbers records from 0, returns part of a stream, and says where the next read begins", async () => {
        const url = await startLog();
        for (const n of [0, 1, 2]) {
            expect(JSON.parse((await append(url, { n })).text)).to.deep.equal({ offset: n });
        }
        const { body } = await read(url, "from=1&max=1");
        expect(body).to.deep.equal({
            first: 0,
            next: 2,
            tail: 3,
            records: [{ offset: 1, record: { n: 1 } }],
        });
    });

    it("responds to a long poll at the tail as soon as a record is appended", async () => {
        const url = await startLog();
        const waiting = read(url, "from=0&wait=30000");
        await append(url, { n: 0 });
        expect((await waiting).body.records).to.have.length(1);
    });

    it("responds with 410 and the first retained offset when older records were dropped", async () => {
        const url = await startLog({ retentionRecords: 2 });
        for (const n of [0, 1, 2, 3]) await append(url, { n });
        expect(await read(url, "from=1")).to.deep.equal({ status: 410, body: { first: 2, next: 4 } });
        expect((await read(url, "from=2")).body.records.map(record => record.offset)).to.deep.equal([2, 3]);
    });

    it("drops records by age and keeps counting offsets", async () => {
        const url = await startLog({ retentionMs: 0 });
        await append(url, { n: 0 });
        await new Promise(resolve => setTimeout(resolve, 5));
        expect((await read(url, "from=0")).status).to.equal(410);
        expect(JSON.parse((await append(url, { n: 1 })).text)).to.deep.equal({ offset: 1 });
    });

    it("stores an append whose response it loses, so that a retry makes a second copy", async () => {
        const url = await startLog();
        await post(`${url}/faults`, { loseAnswers: 1 });
        const lost = await append(url, { n: 0 }).catch(() => "lost");
        expect(lost).to.equal("lost");
        expect((await append(url, { n: 0 })).status).to.equal(200);
        expect((await read(url, "from=0")).body.records).to.have.length(2);
    });

    it("rejects all requests during an outage, ends open long polls, and keeps its records", async () => {
        const url = await startLog();
        await append(url, { n: 0 });
        const waiting = read(url, "from=1&wait=30000");
        await read(url, "from=0");
        await post(`${url}/faults`, { outage: true });
        expect([(await waiting).status, (await append(url, {})).status]).to.deep.equal([503, 503]);
        await post(`${url}/faults`, {});
        expect((await read(url, "from=0")).body.records).to.have.length(1);
    });

    it("delays its responses when it is slow, so that an append ends with the client's timeout", async () => {
        const url = await startLog();
        await post(`${url}/faults`, { slowMs: 3_000 });
        const log = new LogClient(url);
        const record = { type: "checkpoint", id: "c", asOf: -1, bridge: false, views: {} } as const;
        const message = await log.append(record).then(() => "no error", (err: Error) => err.message);
        expect(message).to.match(/^log service: /);
        await log.close();
    });

    it("rejects unknown faults and invalid queries", async () => {
        const url = await startLog();
        expect((await post(`${url}/faults`, { outrage: true })).status).to.equal(400);
        expect((await read(url, "from=-1")).status).to.equal(400);
    });
});
