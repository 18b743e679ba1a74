import type {UpstreamRecord} from '@cicadapost/fleet';
import type {Millis, ModelId, UpstreamId} from '@cicadapost/types';
import type {EngineWeights} from './plan-loads.js';

type TrackedEngine = {
	bornAt: number;
	/** Versions that the engine has reported in its responses. */
	reportedVersions: Map<ModelId, number>;
	loading: Readonly<{model: ModelId; version: number; since: Millis}> | undefined;
};

/** A load takes 0.9 s, or longer while others run. After this time it is assumed to have failed or to be delayed by seconds. */
const loadTimeoutMs = 3500;

/** The weight versions of engines: those in the platform's list, updated by responses of the engines and by loads in progress. */
export class EngineVersions {
	private readonly tracked = new Map<UpstreamId, TrackedEngine>();

	/** Records a version that a response of the engine has shown. */
	recordVersion(engine: UpstreamRecord, model: ModelId, version: number): void {
		this.trackedOf(engine).reportedVersions.set(model, version);
	}

	recordLoadStart(engine: UpstreamRecord, load: Readonly<{model: ModelId; version: number}>, now: Millis): void {
		this.trackedOf(engine).loading = {...load, since: now};
	}

	recordLoadEnd(engine: UpstreamRecord): void {
		this.trackedOf(engine).loading = undefined;
	}

	/** Versions that new samples would run with, without a model that is being loaded. */
	usableVersions(engine: UpstreamRecord, now: Millis): ReadonlyMap<ModelId, number> {
		const {versions, loading} = this.weights(engine, now);
		return loading === undefined ? versions : new Map([...versions].filter(([model]) => model !== loading.model));
	}

	/** Whether a load is in progress. Cheap enough to be called for each event of a sample. */
	isLoading(engine: UpstreamRecord, now: Millis): boolean {
		const known = this.tracked.get(engine.id);
		return known?.loading !== undefined && known.bornAt === engine.bornAt && this.weights(engine, now).loading !== undefined;
	}

	weights(engine: UpstreamRecord, now: Millis): EngineWeights {
		const known = this.trackedOf(engine);
		const versions = new Map(engine.models);
		for (const [model, version] of known.reportedVersions) {
			versions.set(model, Math.max(version, versions.get(model) ?? 0));
		}

		if (known.loading !== undefined) {
			const {model, version, since} = known.loading;
			if ((versions.get(model) ?? 0) >= version || now - since > loadTimeoutMs) {
				known.loading = undefined;
			}
		}

		return {id: engine.id, versions, loading: known.loading};
	}

	private trackedOf(engine: UpstreamRecord): TrackedEngine {
		let known = this.tracked.get(engine.id);
		if (known?.bornAt !== engine.bornAt) {
			known = {bornAt: engine.bornAt, reportedVersions: new Map(), loading: undefined};
			this.tracked.set(engine.id, known);
		}

		return known;
	}
}
