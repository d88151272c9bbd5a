/** Finds the route of a request and the part of a split that it goes to. */
import type { MeshConfig, Route } from "../mesh/types.ts";

export function findRoute(config: MeshConfig, host: string, path: string): Route | undefined {
    const queryIndex = path.indexOf("?");
    const pathWithoutQuery = queryIndex < 0 ? path : path.slice(0, queryIndex);
    return config.routesByHost.get(host)?.find(route => pathWithoutQuery.startsWith(route.pathPrefix));
}

/**
 * Smooth weighted round robin: each part of a split gets its share in every short run of requests, and no draw of
 * chance has to even out.
 */
export class TrafficSplitter {
    private readonly currentWeights = new Map<string, Float64Array>();

    chooseService(route: Route): string {
        const { services } = route;
        if (services.length === 1) return services[0]!.service;
        const current = this.currentWeightsOf(route);
        let total = 0;
        let bestIndex = 0;
        for (let index = 0; index < services.length; index++) {
            const { weight } = services[index]!;
            total += weight;
            current[index]! += weight;
            if (current[index]! > current[bestIndex]!) bestIndex = index;
        }
        current[bestIndex]! -= total;
        return services[bestIndex]!.service;
    }

    /** Forgets the state of earlier routes. */
    reset(): void {
        this.currentWeights.clear();
    }

    private currentWeightsOf(route: Route): Float64Array {
        let current = this.currentWeights.get(route.name);
        if (current === undefined || current.length !== route.services.length) {
            // A random start keeps nodes with few requests each from all beginning with the same part.
            current = Float64Array.from(route.services, ({ weight }) => weight * (Math.random() - 0.5));
            this.currentWeights.set(route.name, current);
        }
        return current;
    }
}
