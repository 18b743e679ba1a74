import type {DutyKind} from '@cicadapost/duties';
import {Counter, Gauge, type Registry} from 'prom-client';

/** Metrics of the duties. */
export class DutyMetrics {
	private readonly calls: Counter;
	private readonly windows: Counter;
	private readonly scaleOrders: Counter;
	private readonly held: Gauge;

	constructor(registry: Registry) {
		const registers = [registry];
		this.calls = new Counter({
			name: 'cicadapost_duty_calls_total', help: 'Calls and lease changes of duties by outcome', labelNames: ['duty', 'outcome'], registers,
		});
		this.windows = new Counter({
			name: 'cicadapost_usage_windows_total', help: 'Windows of usage by what happened to their report', labelNames: ['outcome'], registers,
		});
		this.scaleOrders = new Counter({
			name: 'cicadapost_scale_orders_total', help: 'Orders of numbers of upstreams by kind and outcome', labelNames: ['kind', 'outcome'], registers,
		});
		this.held = new Gauge({
			name: 'cicadapost_duties_held', help: 'Subjects of a duty that this daemon holds', labelNames: ['duty'], registers,
		});
	}

	recordDuty(duty: DutyKind, outcome: string): void {
		this.calls.inc({duty, outcome: outcome.split(':')[0] ?? outcome});
	}

	recordWindow(outcome: string): void {
		this.windows.inc({outcome});
	}

	recordScaleOrder(kind: string, outcome: string): void {
		this.scaleOrders.inc({kind, outcome});
	}

	recordHeld(duty: DutyKind, subjects: number): void {
		this.held.set({duty}, subjects);
	}
}
