/** TCP proxy whose open connections can go silent: nothing passes any more, and neither side sees an end or a reset. */
import net from "node:net";

export class Proxy {
    #pairs = new Set();
    #server = net.createServer(client => this.#accept(client));

    constructor(targetAddress) {
        [this.targetHost, this.targetPort] = targetAddress.split(":");
    }

    /** Returns the address of the proxy. */
    async start(host) {
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        return `${host}:${this.#server.address().port}`;
    }

    /** Makes the connections that are open now silent for good; returns their number. New ones work. */
    silence() {
        for (const pair of this.#pairs) pair.isSilent = true;
        return this.#pairs.size;
    }

    stop() {
        this.#server.close();
        for (const { client, upstream } of this.#pairs) {
            client.destroy();
            upstream.destroy();
        }
    }

    #accept(client) {
        const upstream = net.connect({ host: this.targetHost, port: this.targetPort });
        const pair = { client, upstream, isSilent: false };
        this.#pairs.add(pair);
        this.#forward(pair, client, upstream);
        this.#forward(pair, upstream, client);
    }

    #forward(pair, from, to) {
        from.on("data", chunk => {
            if (!pair.isSilent) to.write(chunk);
        });
        from.on("error", () => undefined);
        from.on("close", () => {
            this.#pairs.delete(pair);
            // A silent connection passes no end on either.
            if (!pair.isSilent) to.destroy();
        });
    }
}
