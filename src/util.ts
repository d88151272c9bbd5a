/** Helpers that all layers use. */
import { Map } from "immutable";

/** Returns an empty immutable map. Call sites need no type arguments. */
export function emptyMap<K, V>(): Map<K, V> {
    return Map<K, V>();
}
