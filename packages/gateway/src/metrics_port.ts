/**
 * Serves the metrics page.
 */
import { SIDE_PORTS } from "./plug_ins.ts";
import { textPort } from "./text_port.ts";

SIDE_PORTS.register(
  "metrics",
  (view, options) =>
    textPort(options.instance.metricsAddress, ({ pathname }) => {
      if (pathname !== "/metrics") return undefined;
      return {
        status: 200,
        contentType: "text/plain",
        text: view.metricsText(),
      };
    }),
);
