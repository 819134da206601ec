/**
 * Serves the metrics page.
 */
import { AUXILIARY_SERVERS } from "./plug_ins.ts";
import { makeTextServer } from "./text_server.ts";

AUXILIARY_SERVERS.register(
  "metrics",
  (view, options) =>
    makeTextServer(options.instance.metricsAddress, ({ pathname }) => {
      if (pathname !== "/metrics") return undefined;
      return {
        status: 200,
        contentType: "text/plain",
        text: view.metricsText(),
      };
    }, view.guard),
);
