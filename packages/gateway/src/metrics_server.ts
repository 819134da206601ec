/**
 * Serves the metrics page, and explanations of where a request would go.
 */
import { AUXILIARY_SERVERS } from "./plug_ins.ts";
import { explanationAnswer } from "./route_explanation.ts";
import { makeTextServer } from "./text_server.ts";

AUXILIARY_SERVERS.register(
  "metrics",
  (view, options) =>
    makeTextServer(
      options.instance.metricsAddress,
      ({ pathname, searchParams }) => {
        if (pathname === "/explain") {
          return explanationAnswer(view.explainRoute, searchParams);
        }
        if (pathname !== "/metrics") return undefined;
        return {
          status: 200,
          contentType: "text/plain",
          text: view.metricsText(),
        };
      },
      view.guard,
    ),
);
