/** Input of the platform adapter: settings, configuration and response seals, with clear errors for invalid input. */
import { expect } from "chai";
import {
    parseDuration,
    parseSettings,
    parseTracedIdPrefixes,
    SettingsError,
} from "../../platform/settings.ts";
import { ConfigError, decodeConfig, safeDecodeConfig } from "../../platform/wireConfig.ts";
import { lengthMatchesSeal } from "../../platform/wireHeaders.ts";
import { wireConfig, wireRoute } from "../support/platformMesh.ts";

const SETTINGS = `node = "n-1"
role = "node"
ip = "10.1.0.8"
zone = "a"
internal_port_range = [7620,7635]
bounds = ["grace=6s","retry_budget_ratio=0.2","budget_window=10s","budget_slack=48","quota_overage=0.1"]
app_addr = "10.1.0.8:8301"
service = "shop"
unknown_field = { later = true }
[listen]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
control = "10.1.0.8:8306"
[platform]
address = "10.200.1.7:8309"
`;

function settingsErrorOf(text: string): string {
    try {
        parseSettings(text, "s.toml");
        return "";
    }
    catch (err) {
        expect(err).to.be.instanceOf(SettingsError);
        return (err as Error).message;
    }
}

describe("platform adapter", () => {
    it("parses settings and ignores unknown fields", () => {
        expect(parseSettings(SETTINGS, "s.toml")).to.deep.include({
            nodeName: "n-1",
            dataCentre: "a",
            service: "shop",
            target: { host: "10.1.0.8", port: 8301 },
            peer: { host: "10.1.0.8", port: 7620 },
            graceMs: 6000,
            retryRatio: 0.2,
            retrySlack: 48,
            retryWindowMs: 10_000,
            quotaBounds: { windowMs: 5000, overage: 0.1, slack: 0 },
        });
    });

    it("parses the limits of the host, and leaves missing or malformed ones to their defaults", () => {
        const limitsOf = (lines: string) => {
            const { memoryMb, maxFds } = parseSettings(`${SETTINGS}${lines}`, "s.toml");
            return { memoryMb, maxFds };
        };
        expect(limitsOf("[limits]\nmemory_mb = 250\nmax_fds = 4100\n")).to.deep.equal({
            memoryMb: 250,
            maxFds: 4100,
        });
        expect(limitsOf("[limits]\nmemory_mb = -1\nmax_fds = \"many\"\n"))
            .to.deep.equal({ memoryMb: undefined, maxFds: undefined });
        expect(limitsOf("")).to.deep.equal({ memoryMb: undefined, maxFds: undefined });
    });

    // Guards against a node that learns limits in a deployment that has not asked for it.
    it("learns the capacity of the target only if the settings list the contract for it", () => {
        const learnsCapacity = (line: string) =>
            parseSettings(`${line}\n${SETTINGS}`, "s.toml").learnsCapacity;
        expect(learnsCapacity("")).to.equal(false);
        expect(learnsCapacity("contracts = [\"quota\"]")).to.equal(false);
        expect(learnsCapacity("contracts = [\"quota\", \"health\"]")).to.equal(true);
    });

    it("parses the prefixes of traced request ids and rejects invalid ones", () => {
        expect(parseTracedIdPrefixes("", "V")).to.deep.equal([]);
        expect(parseTracedIdPrefixes("9c41, a-b.1", "V")).to.deep.equal(["9c41", "a-b.1"]);
        expect(() => parseTracedIdPrefixes("9c41,two words", "V")).to.throw(
            SettingsError,
            /^V: "two words" is not the beginning/,
        );
    });

    it("reports the field of a setting that is missing or invalid", () => {
        expect(settingsErrorOf(SETTINGS.replace("app_addr", "app"))).to.contain("s.toml: app_addr");
        expect(settingsErrorOf(SETTINGS.replace("10.1.0.8:8304", "nowhere"))).to.contain(
            "listen.outbound: must be IP:port",
        );
        expect(settingsErrorOf(`${SETTINGS}\n= 3`)).to.match(/s\.toml:\d+: not TOML/);
    });

    it("parses durations only with a unit", () => {
        expect(["1500ms", "2.5s", "3", 3, "x"].map(parseDuration)).to.deep.equal([
            1500,
            2500,
            undefined,
            undefined,
            undefined,
        ]);
    });

    it("decodes a configuration and sorts its routes by prefix, longest first", () => {
        const split = [{ service: "shop", weight: 90 }, { service: "stock", weight: 10 }];
        const paths = [
            wireRoute({ path_prefix: "/a/" }),
            wireRoute({ path_prefix: "/a/b/", kind: "unsafe", service: undefined, traffic_split: split }),
        ];
        const config = decodeConfig(Buffer.from(JSON.stringify(wireConfig(12, paths))));
        expect(config.version).to.equal(12);
        const [first, second] = config.routesByHost.get("shop.example")!;
        expect(first).to.include({ pathPrefix: "/a/b/", isIdempotent: false });
        expect(first!.services).to.deep.equal(split);
        expect(second).to.include({ pathPrefix: "/a/", isIdempotent: true, timeoutMs: 3000 });
        expect(second!.services).to.deep.equal([{ service: "shop", weight: 1 }]);
    });

    it("rejects malformed and invalid configurations", () => {
        const invalidConfigs = [
            "",
            "null",
            "{\"version\":\"r3\"}",
            JSON.stringify({ ...wireConfig(1), version: 3 }),
            JSON.stringify(wireConfig(1, [wireRoute({ timeout: 300 })])),
            JSON.stringify(wireConfig(1, [wireRoute({ path_prefix: "a" })])),
            JSON.stringify(wireConfig(1, [wireRoute({ priority: 1e300 })])),
            JSON.stringify(wireConfig(1)).replace("\"priority\":1", "\"priority\":1e400"),
        ];
        for (const text of invalidConfigs) {
            expect(safeDecodeConfig(Buffer.from(text)).success, text.slice(0, 60)).to.equal(false);
            expect(() => decodeConfig(Buffer.from(text))).to.throw(ConfigError);
        }
    });

    it("rejects a route without a service with the path of the route", () => {
        const split = (services: readonly unknown[]) =>
            wireRoute({ service: undefined, traffic_split: services });
        for (const route of [wireRoute({ service: undefined }), split([])]) {
            const config = Buffer.from(JSON.stringify(wireConfig(1, [wireRoute(), route])));
            const result = safeDecodeConfig(config);
            expect(result.success ? undefined : result.issue).to.include({
                code: "no-service",
                path: "virtual_hosts.0.paths.1",
            });
        }
    });

    it("compares the body with the length in the seal if the seal contains one", () => {
        expect(lengthMatchesSeal("e.14208.258.0.1501defa", 600)).to.equal(true);
        expect(lengthMatchesSeal("e.14208.258.0.1501defa", 213)).to.equal(false);
        expect(lengthMatchesSeal("other", 213)).to.equal(true);
    });
});
