/**
 * A configuration of the operator with an idempotent and a non-idempotent route
 * to each service.
 */
export const HOST = "shop.example";

export function makeConfiguration(version, services, timeoutSeconds = 2) {
  const route = (service, type) => ({
    type: "routes",
    metadata: { name: `${type}-${service}` },
    spec: {
      host: HOST,
      prefix: `/${service}/${type === "idempotent" ? "read" : "write"}/`,
      route_type: type,
      timeout_s: timeoutSeconds,
      slo_s: 0.25,
      priority: 1,
      service,
      max_attempts: 2,
    },
  });
  return {
    version,
    resources: [
      ...services.flatMap((service) => [
        route(service, "idempotent"),
        route(service, "non_idempotent"),
      ]),
      ...services.map((service) => ({
        type: "services",
        metadata: { name: service },
        spec: {
          health_check: "/health",
          max_conns: 220,
          protocol: "h1",
          tls: false,
        },
      })),
      {
        type: "limits",
        metadata: {},
        spec: {
          max_header_bytes: 16_384,
          max_body_bytes: 67_108_864,
          header_timeout_s: 3,
          idle_timeout_s: 15,
        },
      },
    ],
  };
}
