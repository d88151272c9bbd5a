/** Creates the state of a call: identifies its caller and sets its service, its admission level and its deadline. */
import type { RequestHead } from "../http/messageHead.ts";
import { AccountFairness } from "../policy/accountFairness.ts";
import { identifyCaller } from "../policy/accounts.ts";
import type { AccountDirectory } from "../policy/accounts.ts";
import { levelOf, LEVELS_PER_PRIORITY } from "../policy/admissionLevel.ts";
import { TrafficSplitter } from "../policy/routeTable.ts";
import { createCall } from "./call.ts";
import type { Call } from "./call.ts";
import type { CallLog } from "./callLog.ts";
import type { Counters } from "./counters.ts";
import type { EventLog } from "./eventLog.ts";
import type { Run, Runner } from "./runner.ts";
import type { ClientAccount, Route } from "./types.ts";

export interface CallFactoryOptions {
    readonly runner: Pick<Runner, "findRun">;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly callLog: CallLog;
}

interface NewCall extends Pick<Call, "req" | "route" | "respond"> {
    readonly accounts: AccountDirectory | undefined;
    readonly arrivedAt: number;
}

interface CallerState {
    readonly parent: Run | undefined;
    readonly account: ClientAccount | undefined;
    readonly isCallerUnknown: boolean;
}

export const DEFAULT_DEADLINE_MS = 30_000;
/** Timers of Node.js with a longer delay than 2^31 - 1 ms would fire at once. */
const MAX_DEADLINE_MS = 24 * 3600 * 1000;

export class CallFactory {
    private readonly trafficSplitter = new TrafficSplitter();
    private readonly fairness = new AccountFairness();

    constructor(private readonly options: CallFactoryOptions) {}

    onNewConfig(): void {
        this.trafficSplitter.reset();
    }

    /** Returns `undefined` if the request is unauthorized. It is counted and logged then. */
    create({ req, route, respond, accounts, arrivedAt }: NewCall): Call | undefined {
        const { requestId } = req.head;
        const caller = this.identify(req.head, route, accounts);
        if (caller === undefined) {
            this.options.counters.unauthorizedRequests++;
            this.options.callLog.unauthorized(requestId, route.name);
            return undefined;
        }
        const { parent, account, isCallerUnknown } = caller;
        const requestedMs = req.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
        const deadlineMs = Math.min(requestedMs, route.timeoutMs, MAX_DEADLINE_MS);
        this.options.counters.countRequest(route.name);
        return createCall({
            req,
            route,
            service: this.trafficSplitter.chooseService(route),
            parent,
            account,
            isCallerUnknown,
            sharesPriority: accounts !== undefined && parent === undefined && !isCallerUnknown,
            isTraced: this.options.log.isTraced(requestId),
            level: parent?.level
                ?? levelOf(accounts?.priorityOf(account, route.priority) ?? route.priority, requestId),
            startedAt: arrivedAt,
            deadlineAt: Math.min(arrivedAt + deadlineMs, parent?.deadlineAt ?? Infinity),
            respond,
        });
    }

    /** Level of a client call of a configuration with accounts, among the calls of its priority. Call once. */
    fairLevelOf({ level, account, req }: Call, now: number): number {
        const priority = Math.floor(level / LEVELS_PER_PRIORITY);
        return this.fairness.levelOf({ priority, account, requestId: req.head.requestId }, now);
    }

    /** Returns `undefined` if the request is unauthorized. Without accounts, every caller is accepted. */
    private identify(
        { requestId, accountKey: key }: RequestHead,
        { allowsAnonymous }: Route,
        accounts: AccountDirectory | undefined,
    ): CallerState | undefined {
        const parent = this.findParent(requestId);
        if (accounts === undefined) return { parent, account: undefined, isCallerUnknown: false };
        const hasParent = parent !== undefined;
        const caller = identifyCaller(accounts, { key, requestId, hasParent, allowsAnonymous });
        switch (caller.kind) {
            case "account":
                return { parent: undefined, account: caller.account, isCallerUnknown: false };
            case "anonymous":
                return { parent: undefined, account: undefined, isCallerUnknown: false };
            case "nested":
                return { parent, account: undefined, isCallerUnknown: false };
            case "unknown-caller":
                return { parent: undefined, account: undefined, isCallerUnknown: true };
            case "unauthorized":
                return undefined;
        }
    }

    /**
     * Finds the run at the local target that made this call: the id of a nested call is the id of that run, a dot and a
     * suffix. A request without such a run is treated as a client request.
     */
    private findParent(requestId: string): Run | undefined {
        const dot = requestId.lastIndexOf(".");
        return dot <= 0 ? undefined : this.options.runner.findRun(requestId.slice(0, dot));
    }
}
