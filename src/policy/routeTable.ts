/** Finds the route of a request and, if the route splits its traffic, the service that handles the request. */
import type { MeshConfig, Route } from "../mesh/types.ts";

/** Returns the route with the longest matching prefix, which comes first among the routes of a host. */
export function findRoute(config: MeshConfig, host: string, path: string): Route | undefined {
    const queryIndex = path.indexOf("?");
    const pathWithoutQuery = queryIndex < 0 ? path : path.slice(0, queryIndex);
    return config.routesByHost.get(host)?.find(route => pathWithoutQuery.startsWith(route.pathPrefix));
}

/**
 * Smooth weighted round robin: each service of a traffic split gets its share in every short sequence of requests,
 * while random choices would only even out over many.
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

    /** Discards the state of all routes; to be called when the configuration changes. */
    reset(): void {
        this.currentWeights.clear();
    }

    private currentWeightsOf(route: Route): Float64Array {
        let current = this.currentWeights.get(route.name);
        if (current === undefined || current.length !== route.services.length) {
            // A random start keeps nodes with few requests each from all beginning with the same service.
            current = Float64Array.from(route.services, ({ weight }) => weight * (Math.random() - 0.5));
            this.currentWeights.set(route.name, current);
        }
        return current;
    }
}
