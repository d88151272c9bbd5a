/** Finds the route of a request and the part of a split that it goes to. */
import type { MeshConfig, Route } from "../mesh/types.ts";

export function findRoute(cfg: MeshConfig, host: string, path: string): Route | undefined {
    const query = path.indexOf("?");
    const plainPath = query < 0 ? path : path.slice(0, query);
    return cfg.routesByHost.get(host)?.find(route => plainPath.startsWith(route.pathPrefix));
}

/**
 * Smooth weighted round robin: each part of a split gets its share in every short run of requests, and no draw of
 * chance has to even out.
 */
export class SplitChooser {
    private readonly credits = new Map<string, Float64Array>();

    choose(route: Route): string {
        const { services } = route;
        if (services.length === 1) return services[0]!.service;
        const credit = this.creditOf(route);
        let total = 0;
        let best = 0;
        for (let index = 0; index < services.length; index++) {
            const { weight } = services[index]!;
            total += weight;
            credit[index]! += weight;
            if (credit[index]! > credit[best]!) best = index;
        }
        credit[best]! -= total;
        return services[best]!.service;
    }

    /** Forgets the state of earlier routes. */
    reset(): void {
        this.credits.clear();
    }

    private creditOf(route: Route): Float64Array {
        let credit = this.credits.get(route.name);
        if (credit === undefined || credit.length !== route.services.length) {
            // A random start keeps nodes with few requests each from all beginning with the same part.
            credit = Float64Array.from(route.services, ({ weight }) => weight * (Math.random() - 0.5));
            this.credits.set(route.name, credit);
        }
        return credit;
    }
}
