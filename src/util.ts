/** Small helpers without a home in one layer. */
import { Map } from "immutable";

/** An immutable map without entries; keeps call sites free of type arguments. */
export function emptyMap<K, V>(): Map<K, V> {
    return Map<K, V>();
}
