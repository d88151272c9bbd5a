/** Sends a request through a chain of services. Nodes, targets and the log service are separate processes. */
import { expect } from "chai";
import { fetchText, freeAddress, ProcessGroup, waitForStatus, waitForText } from "./support/processes.ts";

const CHAIN = [
    { service: "calendar", calls: "booking" },
    { service: "booking", calls: "gallery" },
    { service: "gallery", calls: undefined },
] as const;

interface ChainAddresses {
    readonly logUrl: string;
    readonly entry: string;
    readonly peers: readonly string[];
    readonly targets: readonly string[];
}

async function startChain(processes: ProcessGroup): Promise<ChainAddresses> {
    const log = await freeAddress();
    const logUrl = `http://${log}`;
    processes.start(["standin-log", "--listen", log]);
    const entries: string[] = [];
    const peers: string[] = [];
    const targets: string[] = [];
    for (const { service, calls } of CHAIN) {
        const [entry, peer, egress, target] = [
            await freeAddress(),
            await freeAddress(),
            await freeAddress(),
            await freeAddress(),
        ];
        const common = ["--service", service, "--egress", egress];
        processes.start([
            "node",
            ...common,
            "--data-centre",
            "a",
            "--entry",
            entry,
            "--peer",
            peer,
            "--log-url",
            logUrl,
        ]);
        processes.start([
            "standin-target",
            ...common,
            "--listen",
            target,
            ...(calls === undefined ? [] : ["--calls", calls]),
        ]);
        entries.push(entry);
        peers.push(peer);
        targets.push(target);
    }
    return { logUrl, entry: entries[0]!, peers, targets };
}

describe("end to end", () => {
    const processes = new ProcessGroup();
    after(() => processes.stop());

    it("runs a booking exactly once at each of three services", async () => {
        const { logUrl, entry, peers, targets } = await startChain(processes);
        await waitForStatus(`${logUrl}/streams/control/records?from=0`, 200);
        const applied = await processes.run(["apply", "examples/demo", "--log-url", logUrl]);
        expect(applied).to.include({ code: 0, stderr: "" });
        // A booking that arrives before all services have joined fails, and its key keeps the failed response.
        for (const peer of peers) {
            await waitForText(
                `http://${peer}/status`,
                text => CHAIN.every(({ service }) => text.includes(`"${service}":{"version":`)),
            );
        }
        const headers = { "baggage": "fp.kind=book", "idempotency-key": "booking-1" };
        // If booking were not ready and refused the call, calendar would respond with an error, which would be
        // recorded for the key and replayed.
        await Promise.all(peers.map(peer => waitForStatus(`http://${peer}/readyz`, 200)));
        const response = await fetchText(`http://${entry}/launches/7`, { method: "POST", headers });
        expect(response.status).to.equal(200);
        expect(JSON.parse(response.text)).to.have.nested.property("deeper[0].deeper[0].service", "gallery");
        for (const target of targets) {
            expect(JSON.parse((await fetchText(`http://${target}/standin/runs`)).text)).to.have.length(1);
        }
    });
});
