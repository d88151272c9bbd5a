/** Keys of non-idempotent requests that this node has begun or finished. */
import type { Map } from "immutable";
import type { RecordedAnswer } from "./types.ts";
import { emptyMap } from "./util.ts";

export type KeyRecord =
    | { readonly state: "begun"; readonly run: number; readonly at: number; }
    | { readonly state: "done"; readonly answer?: RecordedAnswer | undefined; readonly at: number; }
    | { readonly state: "unknown"; readonly at: number; };

export interface RecordsState {
    readonly keys: Map<string, KeyRecord>;
}

export function createRecordsState(): RecordsState {
    return { keys: emptyMap() };
}
