/**
 * Client accounts: which account a key belongs to, who the caller of a request is, and the priority of its requests.
 * The keys of a configuration version are in force exactly as long as that version.
 */
import type { ClientAccount } from "../mesh/types.ts";
import { PriorityClasses } from "./priorityClasses.ts";

export interface AccountEntry {
    readonly account: ClientAccount;
    readonly keys: readonly string[];
}

export class AccountDirectory {
    private readonly accounts: readonly ClientAccount[];
    private readonly accountsByKey = new Map<string, ClientAccount>();
    private readonly priorityClasses: PriorityClasses;
    private readonly anonymousPriority: number;

    /** `routePriorities` are the priorities of all routes of the same configuration. */
    constructor(entries: readonly AccountEntry[], routePriorities: readonly number[]) {
        this.accounts = entries.map(({ account }) => account);
        for (const { account, keys } of entries) {
            for (const key of keys) this.accountsByKey.set(key, account);
        }
        const priorities = this.accounts.map(({ priority }) => priority);
        this.anonymousPriority = priorities.reduce((lowest, priority) => Math.max(lowest, priority), 0);
        this.priorityClasses = new PriorityClasses([...priorities, this.anonymousPriority], routePriorities);
    }

    accountOf(key: string): ClientAccount | undefined {
        return this.accountsByKey.get(key);
    }

    all(): readonly ClientAccount[] {
        return this.accounts;
    }

    /**
     * Priority of a request for `levelOf`, by the priority of its account, then by that of its route. A request without
     * an account ranks with the least important accounts.
     */
    priorityOf(account: ClientAccount | undefined, routePriority: number): number {
        return this.priorityClasses.priorityOf(account?.priority ?? this.anonymousPriority, routePriority);
    }
}

/** Who sent a request, or why that is not known. */
export type Caller =
    | { readonly kind: "account"; readonly account: ClientAccount; }
    | { readonly kind: "anonymous"; }
    /** A target that handles a request; its calls carry no key. */
    | { readonly kind: "nested"; }
    /** A client without a valid key. Final: the request must not be repeated. */
    | { readonly kind: "unauthorized"; }
    /** Possibly a nested call whose run has just ended, so that the caller cannot be identified. */
    | { readonly kind: "unknown-caller"; };

export interface CallerFields {
    /** `undefined` if the request carries no key. */
    readonly key: string | undefined;
    readonly requestId: string;
    /** Whether the request has the id of a call of a run that is in progress at the local target. */
    readonly hasParent: boolean;
    /** Whether the route accepts requests without a valid key. */
    readonly allowsAnonymous: boolean;
}

const ANONYMOUS: Caller = { kind: "anonymous" };
const NESTED: Caller = { kind: "nested" };
const UNAUTHORIZED: Caller = { kind: "unauthorized" };
const UNKNOWN_CALLER: Caller = { kind: "unknown-caller" };

/**
 * Identifies the caller of a request. A request with a key is always a client's, whatever its id: nested calls carry no
 * key, and otherwise a client could evade its quota with the id of a call.
 */
export function identifyCaller(
    accounts: AccountDirectory,
    { key, requestId, hasParent, allowsAnonymous }: CallerFields,
): Caller {
    if (key === undefined && hasParent) return NESTED;
    const account = key === undefined ? undefined : accounts.accountOf(key);
    if (account !== undefined) return { kind: "account", account };
    if (allowsAnonymous) return ANONYMOUS;
    // The run of a nested call may have ended, but 401 would be wrong for it and final.
    return key === undefined && requestId.includes(".") ? UNKNOWN_CALLER : UNAUTHORIZED;
}
