export {type LoadResult} from './load_result.js';
export {type LoadSpec} from './load_spec.js';
export {loadSpecSchema} from './load_spec_schema.js';
export {planArrivals} from './plan_arrivals.js';
export {renderReport} from './render_report.js';
export {runLoad} from './run_load.js';
export {summarize} from './summarize.js';
