/** Guards the store client against a response without end, which would fill its memory and block later requests. */
import { expect } from "chai";
import http from "node:http";
import type net from "node:net";
import { StoreClient, StoreError } from "../../platform/storeClient.ts";

const MAX_SENT_BYTES = 64 * 1024 * 1024;

/** A store that sends an endless body in response to the first request. */
class EndlessResponseStore {
    sentBytes = 0;
    private requestCount = 0;
    private readonly server = http.createServer((_req, res) => {
        if (this.requestCount++ === 0) this.sendEndlessBody(res);
        else res.writeHead(200).end(JSON.stringify({ items: [], has_more: false, end: 7 }));
    });

    async listen(): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return (this.server.address() as net.AddressInfo).port;
    }

    stop(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private sendEndlessBody(res: http.ServerResponse): void {
        const chunk = Buffer.alloc(64 * 1024);
        const send = () => {
            if (res.destroyed || this.sentBytes > MAX_SENT_BYTES) return;
            this.sentBytes += chunk.length;
            if (res.write(chunk)) setImmediate(send);
            else res.once("drain", send);
        };
        send();
    }
}

describe("store client", () => {
    it("aborts an endless response and completes the next request", async () => {
        const store = new EndlessResponseStore();
        const client = new StoreClient({ host: "127.0.0.1", port: await store.listen() });
        const error = await client.readNewest("keyed.op").then(() => undefined, (err: unknown) => err);
        expect(error).to.be.instanceOf(StoreError);
        expect((error as StoreError).message).to.contain("more than");
        expect(store.sentBytes).to.be.lessThan(MAX_SENT_BYTES);
        expect((await client.readNewest("keyed.op")).nextOffset).to.equal(7);
        client.close();
        store.stop();
    });
});
