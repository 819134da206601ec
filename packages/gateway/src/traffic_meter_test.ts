/**
 * Tests that bytes are counted for the failure domain of their receiver, also on
 * connections that a peer has opened from another port.
 */
import { expect, it } from "vitest";
import { GatewayMetrics } from "./metrics.ts";
import { TrafficMeter } from "./traffic_meter.ts";

function makePeer(host: string, failureDomain: string) {
  return {
    incarnation: host,
    callAddress: `${host}:80`,
    meshAddress: `${host}:81`,
    datagramAddress: `${host}:82`,
    failureDomain,
    state: "serving" as const,
    counter: 1,
  };
}

it("bytes are shown by kind of message and by failure domain", () => {
  const metrics = new GatewayMetrics();
  const meter = new TrafficMeter({
    clock: () => 0,
    failureDomain: "a",
    peers: () => [makePeer("10.0.0.1", "a"), makePeer("10.0.0.2", "b")],
    metrics,
  });
  meter.recordSent("members", "10.0.0.1:82", 100);
  meter.recordSent("who", "10.0.0.1:82", 10);
  meter.recordSent("frame", "10.0.0.2:50123", 7);
  meter.recordSent("news", "10.0.0.9:82", 5);
  meter.recordTransferred("probe", { failureDomain: "b" }, 300);
  const lines = metrics.text({}).split("\n");
  for (
    const line of [
      'peer_bytes_sent_total{message="membership",domain="own"} 110',
      'peer_bytes_sent_total{message="discovery",domain="other"} 7',
      'peer_bytes_sent_total{message="freshness",domain="unknown"} 5',
      'server_bytes_total{content="probe",domain="other"} 300',
    ]
  ) expect(lines).toContain(`marigoldford_${line}`);
});
