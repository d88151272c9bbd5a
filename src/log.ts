/** Event log of the `debug` package. Each event is one JSON object in the namespace `filbertspool:<event>`. */
import createDebug from "debug";
import type { Debugger } from "debug";

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

const debuggers = new Map<string, Debugger>();

/** Enables namespaces. The syntax is that of `debug`, for example `filbertspool:*`. */
export function enableLog(namespaces: string): void {
    createDebug.enable(namespaces);
}

export function logEvent(event: string, fields: LogFields = {}): void {
    let log = debuggers.get(event);
    if (log === undefined) {
        log = createDebug(`filbertspool:${event}`);
        debuggers.set(event, log);
    }
    if (log.enabled) log("%s", JSON.stringify({ event, ...fields }));
}
