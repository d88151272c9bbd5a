/** Messages between nodes about the services and routes that requests of a route call. */
import * as v from "valibot";

export const dependenciesSchema = v.object({
    uses: v.optional(v.array(v.object({ route: v.string(), services: v.array(v.string()) })), []),
    calls: v.optional(
        v.array(v.object({
            route: v.string(),
            calledRoute: v.string(),
            service: v.string(),
            calls: v.pipe(v.number(), v.minValue(0), v.maxValue(1e6)),
        })),
        [],
    ),
});
