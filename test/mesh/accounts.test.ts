/**
 * Client accounts: a wrong identity would serve requests under another account's name or refuse permitted ones, and a
 * key that is forwarded or logged would give the account away.
 */
import { expect } from "chai";
import fc from "fast-check";
import { safeDecodeConfig } from "../../platform/wireConfig.ts";
import { WIRE_HEADERS } from "../../platform/wireHeaders.ts";
import { createHeadParsers } from "../../src/http/messageHead.ts";
import { Counters } from "../../src/mesh/counters.ts";
import { AccountDirectory, identifyCaller } from "../../src/policy/accounts.ts";
import type { CallerFields } from "../../src/policy/accounts.ts";
import { PRIORITY_COUNT } from "../../src/policy/admissionLevel.ts";
import { makeAccount } from "../support/meshFixtures.ts";
import { wireAccount, wireConfig } from "../support/platformMesh.ts";

const { parseRequest } = createHeadParsers(WIRE_HEADERS);
const parseHeaders = (lines: string) => parseRequest(`GET / HTTP/1.1\r\nHost: h\r\n${lines}`.slice(0, -2));

function kindOf(fields: Partial<CallerFields>): string {
    const accounts = new AccountDirectory([{ account: makeAccount(), keys: ["k"] }], [0]);
    const defaults = { key: undefined, requestId: "q", hasParent: false, allowsAnonymous: false };
    return identifyCaller(accounts, { ...defaults, ...fields }).kind;
}

function decode(tenants: unknown) {
    const result = safeDecodeConfig(Buffer.from(JSON.stringify({ ...wireConfig(1), tenants })));
    return result.success ? { accounts: result.config.accounts } : { issue: result.issue };
}

/** Priorities of all pairs of the given account and route priorities, in their order of importance. */
function prioritiesOf(accountPriorities: readonly number[], routePriorities: readonly number[]) {
    const accounts = accountPriorities.map(priority => makeAccount({ priority }));
    const directory = new AccountDirectory(accounts.map(account => ({ account, keys: [] })), routePriorities);
    const last = accounts.at(-1)!;
    for (const route of routePriorities) {
        // Anonymous requests rank with the least important accounts.
        expect(directory.priorityOf(undefined, route)).to.equal(directory.priorityOf(last, route));
    }
    return accounts.flatMap(account => routePriorities.map(route => directory.priorityOf(account, route)));
}

describe("client accounts", () => {
    it("identifies callers by key, then by the run that makes the call", () => {
        expect(kindOf({ key: "k" })).to.equal("account");
        expect(kindOf({ key: "k", allowsAnonymous: true })).to.equal("account");
        expect(kindOf({ key: "other" })).to.equal("unauthorized");
        expect(kindOf({})).to.equal("unauthorized");
        expect(kindOf({ allowsAnonymous: true })).to.equal("anonymous");
        expect(kindOf({ key: "other", allowsAnonymous: true })).to.equal("anonymous");
        expect(kindOf({ requestId: "q.1", hasParent: true })).to.equal("nested");
        // A 401 would be final for a call whose run has just ended.
        expect(kindOf({ requestId: "q.1" })).to.equal("unknown-caller");
        expect(kindOf({ requestId: "q.1", key: "other" })).to.equal("unauthorized");
        // Otherwise, a client could evade its account with the id of a call in progress.
        expect(kindOf({ key: "k", requestId: "q.1", hasParent: true })).to.equal("account");
        expect(kindOf({ key: "other", requestId: "q.1", hasParent: true })).to.equal("unauthorized");
    });

    it("removes key and account name from the forwarded headers, in any letter case and number", () => {
        const head = parseHeaders(
            "api-KEY: k1\r\nX-A: 1\r\nAPI-Key:k1 \r\nx-tenant-NAME: forged\r\nX-Tenant-Name: f2\r\nX-B: 2\r\n",
        );
        expect(head.accountKey).to.equal("k1");
        expect(head.headers).to.equal("Host: h\r\nX-A: 1\r\nX-B: 2\r\n");
        expect(parseHeaders("Api-Key: \r\n").accountKey).to.equal(undefined);
        expect(parseHeaders("Connection: Api-Key\r\nApi-Key: k1\r\n").headers).to.equal("Host: h\r\n");
        expect(() => parseHeaders("Api-Key: k1\r\napi-key: k2\r\n")).to.throw("more than one account key");
    });

    it("decodes accounts, and refuses every key once all accounts are removed", () => {
        const acme = wireAccount("acme", { priority: 2, rate_per_s: 1.5, burst: 3 });
        const { accounts } = decode([acme, { name: "b", api_keys: ["k2", "k3"] }, { name: "no keys" }]);
        expect(accounts!.accountOf("key-of-acme"))
            .to.deep.equal({ name: "acme", priority: 2, ratePerS: 1.5, burst: 3 });
        expect(accounts!.accountOf("k3")).to.deep.equal(makeAccount({ name: "b" }));
        expect(accounts!.all().length).to.equal(3);
        expect([decode(undefined), decode(null)]).to.deep.equal(Array(2).fill({ accounts: undefined }));
        expect(decode([]).accounts!.accountOf("key-of-acme")).to.equal(undefined);
    });

    it("reports a malformed account with its path and without its keys", () => {
        const cases: readonly [unknown, string][] = [
            [{ name: "a" }, "tenants"],
            [["secret-1"], "tenants.0"],
            [[wireAccount("a", { api_keys: "secret-1" })], "tenants.0.api_keys"],
            [[wireAccount("a", { api_keys: ["k", "secret-1 "] })], "tenants.0.api_keys.1"],
            [[wireAccount("a", { api_keys: ["secret-1\r\nX: y"] })], "tenants.0.api_keys.0"],
            [[wireAccount("a"), wireAccount("b\r\nX-Forged: y")], "tenants.1.name"],
            [[wireAccount("a", { rate_per_s: -1 })], "tenants.0.rate_per_s"],
            [[wireAccount("a", { burst: "4" })], "tenants.0.burst"],
            [[wireAccount("a", { priority: 0.5 })], "tenants.0.priority"],
            [[wireAccount("a"), wireAccount("a", { api_keys: ["k"] })], "tenants.1.name"],
            [[wireAccount("a"), wireAccount("b", { api_keys: ["key-of-a"] })], "tenants.1.api_keys.0"],
        ];
        for (const [tenants, path] of cases) {
            const { issue } = decode(tenants);
            expect(issue, path).to.include({ code: "invalid-field", path });
            expect(issue!.message).not.to.match(/secret|key-of/);
        }
        const text = JSON.stringify({ ...wireConfig(1), tenants: [wireAccount("a")] });
        for (const cut of [text.slice(0, -9), text.replace("\"key-of-a\"", "'key-of-a'"), "key-of-a"]) {
            const result = safeDecodeConfig(Buffer.from(cut));
            expect(JSON.stringify(result), cut).to.contain("not JSON").and.not.to.contain("key-");
        }
    });

    it("orders requests by account priority, then by route priority, and keeps accounts apart first", () => {
        expect(prioritiesOf([1, 4], [0, 2, 9])).to.deep.equal([0, 1, 2, 3, 4, 5]);
        const priorities = fc.uniqueArray(fc.nat(50), { minLength: 1, maxLength: 12 })
            .map(values => values.sort((a, b) => a - b));
        fc.assert(fc.property(priorities, priorities, (accountPriorities, routePriorities) => {
            const pairs = prioritiesOf(accountPriorities, routePriorities);
            expect(new Set(pairs).size).to.equal(Math.min(PRIORITY_COUNT, pairs.length));
            for (let index = 1; index < pairs.length; index++) {
                const isNextAccount = index % routePriorities.length === 0;
                const minStep = isNextAccount && accountPriorities.length <= PRIORITY_COUNT ? 1 : 0;
                expect(pairs[index]! - pairs[index - 1]!).to.be.at.least(minStep);
            }
        }));
    });

    it("counts the refusals of at most 200 accounts by name, so that the metrics stay bounded", () => {
        const counters = new Counters();
        for (let index = 0; index < 300; index++) counters.countAccountRefusal(`a${index}`, "quota");
        counters.countAccountRefusal("a7", "overload");
        expect(counters.accountRefusals.size).to.equal(201);
        expect(counters.accountRefusals.get("other")!.get("quota")).to.equal(100);
        expect([...counters.accountRefusals.get("a7")!]).to.deep.equal([["quota", 1], ["overload", 1]]);
    });
});
