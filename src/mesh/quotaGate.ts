/** What the forwarder asks of the quotas of client accounts. */
import type { ClientAccount } from "./types.ts";

export interface QuotaGate {
    /**
     * Takes one request out of the account's quota. With `waiting`, the decision follows within some tens of
     * milliseconds: `onDecided` is then called once. With any other result it is not called.
     */
    acquire(
        account: ClientAccount,
        onDecided: (isAdmitted: boolean) => void,
    ): "admitted" | "waiting" | "refused";
    /** Returns what an admitted request has taken, because it was refused without having run. */
    giveBack(account: ClientAccount): void;
    /** Time in ms after which the account may send another request. */
    retryAfterMs(account: ClientAccount): number;
}
